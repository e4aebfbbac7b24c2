#include <iostream>
#include <string>
#include <vector>

#include "commands/command.h"
#include "connection/socket_address.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;

std::vector<command> AllCommands(const std::vector<command>& fleet) {
  std::vector<command> all = {ServeCommand(), SettingsCheckCommand()};
  all.insert(all.end(), fleet.begin(), fleet.end());
  for (command& each : PolicyCommands()) all.push_back(std::move(each));
  all.push_back(StatusCommand());
  all.push_back(ReportBurnCommand());
  all.push_back(LoadCommand());
  all.push_back(VersionCommand());
  return all;
}

void PrintOverview(const std::vector<command>& all, std::ostream& out) {
  out << "Usage: marjoramsill COMMAND [OPTION...]\n\nCommands:\n";
  for (const command& each : all) {
    out << "  " << each.name << std::string(18 - each.name.size(), ' ')
        << each.summary << "\n";
  }
  out << "\nmarjoramsill COMMAND --help lists the options of a command.\n"
         "Exit status: 0 success, 1 failure, 2 wrong arguments, 3 invalid\n"
         "settings or section, 4 conflict, 5 denied, 6 unavailable.\n";
}

int Code(exit_code code) { return static_cast<int>(code); }

/// Number of leading arguments that name the command; 0 if they do not match.
std::size_t MatchName(const command& each,
                      const std::vector<std::string>& words) {
  std::string name;
  for (std::size_t i = 0; i < words.size() && i < 2; ++i) {
    name += (i == 0 ? "" : " ") + words[i];
    if (name == each.name) return i + 1;
  }
  return 0;
}

void PrintHelp(const command& each,
               const options::options_description& description) {
  std::cout << "Usage: marjoramsill " << each.name << " [OPTION...]";
  for (const std::string& argument : each.arguments) {
    std::cout << " " << argument;
  }
  std::cout << "\n" << each.summary << "\n\n" << description;
}

int UsageError(const command& each, const std::string& reason) {
  std::cerr << "marjoramsill " << each.name << ": " << reason
            << "; see marjoramsill " << each.name << " --help\n";
  return Code(exit_code::kUsage);
}

int Run(const command& each, const std::vector<std::string>& words) {
  options::options_description description("Options");
  description.add_options()("help", "show this page");
  if (each.options) each.options(description);
  options::options_description accepted;
  accepted.add(description);
  options::positional_options_description positions;
  for (const std::string& argument : each.arguments) {
    accepted.add_options()(argument.c_str(), options::value<std::string>());
    positions.add(argument.c_str(), 1);
  }
  options::variables_map values;
  try {
    options::store(options::command_line_parser(words)
                       .options(accepted)
                       .positional(positions)
                       .run(),
                   values);
    if (values.count("help") != 0) {
      PrintHelp(each, description);
      return Code(exit_code::kSuccess);
    }
    options::notify(values);
  } catch (const options::error& error) {
    return UsageError(each, error.what());
  }
  for (const std::string& argument : each.arguments) {
    if (values.count(argument) == 0) {
      return UsageError(each, "argument " + argument + " is missing");
    }
  }
  return Code(each.run(values));
}

}  // namespace

void AddControlOption(options::options_description& description) {
  description.add_options()(
      "control",
      options::value<std::string>()
          ->default_value("127.0.0.1:8200")
          ->notifier([](const std::string& text) {
            if (ParseSocketAddress(text)) return;
            throw options::error("--control: found \"" + text +
                                 "\", allowed is IP:PORT");
          }),
      "IP:PORT of a VM's control address");
}

int RunCommandLine(int argc, char** argv, const std::vector<command>& fleet) {
  const std::vector<command> all = AllCommands(fleet);
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.empty() || words[0] == "--help" || words[0] == "help") {
    PrintOverview(all, words.empty() ? std::cerr : std::cout);
    return Code(words.empty() ? exit_code::kUsage : exit_code::kSuccess);
  }
  for (const command& each : all) {
    const std::size_t used = MatchName(each, words);
    if (used == 0) continue;
    return Run(
        each, {words.begin() + static_cast<std::ptrdiff_t>(used), words.end()});
  }
  std::cerr << "marjoramsill: found command \"" << words[0]
            << "\"; marjoramsill --help lists the commands\n";
  return Code(exit_code::kUsage);
}

}  // namespace marjoramsill
