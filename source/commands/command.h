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

/// One subcommand, for example "policy submit". `options` and `arguments` are
/// the same for parsing and for the help page.
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
/// Checks the settings of an entry process or a control process; prints one
/// line.
exit_code CheckNodeSettings(const std::string& file,
                            const std::string& process);
std::vector<command> PolicyCommands();
command StatusCommand();
command ReportBurnCommand();
command LoadCommand();
command VersionCommand();
/// The whole routing document of such a fleet.
std::vector<command> DocumentCommands(const control_dialect& dialect);
/// The processes of a fleet that finds its members by itself.
std::vector<command> FleetCommands(const request_dialect& requests,
                                   const control_dialect& control);

/// Adds --control, the address of a VM's control listener.
void AddControlOption(boost::program_options::options_description& options);

/// Runs the command that the arguments name; prints help and usage errors.
/// `fleet`: the commands of FleetCommands() and DocumentCommands().
int RunCommandLine(int argc, char** argv, const std::vector<command>& fleet);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_COMMAND_H_
