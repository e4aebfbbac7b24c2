#include <utility>
#include <vector>

#include "commands/command.h"
#include "platform/dialect.h"
#include "process/controller/control_dialect.h"

int main(int argc, char** argv) {
  using namespace marjoramsill;  // NOLINT(google-build-using-namespace)
  const control_dialect control = platform::ControlDialect();
  std::vector<command> fleet =
      FleetCommands(platform::RequestDialect(), control);
  for (command& each : DocumentCommands(control)) {
    fleet.push_back(std::move(each));
  }
  return RunCommandLine(argc, argv, fleet);
}
