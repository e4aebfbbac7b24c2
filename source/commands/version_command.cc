#include <iostream>

#include "commands/command.h"
#include "process/daemon/build_version.h"

namespace marjoramsill {

command VersionCommand() {
  command version;
  version.name = "version";
  version.summary = "Print the version of this binary";
  version.run = [](const boost::program_options::variables_map& /*values*/) {
    std::cout << "marjoramsill " << BuildVersion() << "\n";
    return exit_code::kSuccess;
  };
  return version;
}

}  // namespace marjoramsill
