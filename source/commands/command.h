#ifndef MARJORAMSILL_COMMANDS_COMMAND_H_
#define MARJORAMSILL_COMMANDS_COMMAND_H_

#include <boost/program_options.hpp>
#include <functional>
#include <string>
#include <vector>

#include "commands/exit_code.h"

namespace marjoramsill {

struct control_dialect;
struct request_dialect;

/// One subcommand, for example "policy submit". `options` and `arguments`
/// define both what is parsed and what the help page shows.
struct command {
  std::string name;
  std::string summary;
  /// Names of positional arguments, all required.
  std::vector<std::string> arguments;
  std::function<void(boost::program_options::options_description&)> options;
  std::function<exit_code(const boost::program_options::variables_map&)> run;
};

command ServeCommand();
command SettingsCheckCommand();
/// Checks the settings file of an entry or control process (`process` is
/// "entry" or "controller") and prints one line with the result.
exit_code CheckNodeSettings(const std::string& file,
                            const std::string& process);
std::vector<command> PolicyCommands();
command StatusCommand();
command ReportBurnCommand();
command LoadCommand();
command VersionCommand();
/// Commands that check, print, compare and submit the routing document.
std::vector<command> DocumentCommands(const control_dialect& dialect);
/// Commands that run the entry and control processes of a fleet with automatic
/// member discovery.
std::vector<command> FleetCommands(const request_dialect& requests,
                                   const control_dialect& control);

/// Adds the option --control, the address of a VM's control listener.
void AddControlOption(boost::program_options::options_description& options);

/// Runs the command named by the arguments and returns its exit code; prints
/// help and usage errors. `fleet` holds the commands of FleetCommands() and
/// DocumentCommands().
int RunCommandLine(int argc, char** argv, const std::vector<command>& fleet);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_COMMAND_H_
