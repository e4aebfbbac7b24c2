#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "commands/command.h"
#include "process/controller/controller_process.h"
#include "process/controller/node_settings.h"
#include "process/controller/settings_watch.h"
#include "process/daemon/event_log.h"
#include "process/entry/entry_process.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;

enum class node_role { kEntry, kControl };

/// Reads the settings file of a process. On failure, prints one line and sets
/// `code`.
std::optional<node_settings> LoadNodeSettings(const std::string& file,
                                              node_role role, exit_code& code) {
  auto parsed = ParseNodeSettings(file, ReadSettingsText(file));
  code = exit_code::kInvalid;
  if (!parsed) {
    std::cerr << "marjoramsill: " << Describe(parsed.assume_error()) << "\n";
    return std::nullopt;
  }
  node_settings settings = std::move(parsed).assume_value();
  if (role == node_role::kEntry && !settings.callers) {
    std::cerr << "marjoramsill: " << file
              << ": callers: found nothing, allowed is IP:PORT\n";
    return std::nullopt;
  }
  const bool is_state_missing =
      !settings.control || settings.data_folder.empty();
  if (role == node_role::kControl && is_state_missing) {
    std::cerr << "marjoramsill: " << file
              << ": control and data_folder: a control process requires both\n";
    return std::nullopt;
  }
  return settings;
}

template <class Process>
exit_code RunProcess(Process& process) {
  const auto started = process.Start();
  if (!started) {
    const start_error& error = started.assume_error();
    std::cerr << "marjoramsill: " << error.subject << ": " << error.reason
              << "\n";
    return exit_code::kFailure;
  }
  process.Run();
  return exit_code::kSuccess;
}

exit_code RunEntry(const options::variables_map& values,
                   const request_dialect& requests,
                   const control_dialect& control) {
  const auto file = values["config"].as<std::string>();
  exit_code code = exit_code::kSuccess;
  auto settings = LoadNodeSettings(file, node_role::kEntry, code);
  if (!settings) return code;
  std::signal(SIGPIPE, SIG_IGN);
  StartLog("marjoramsill", "info");
  entry_process process(std::move(*settings), file, requests, control);
  return RunProcess(process);
}

exit_code RunController(const options::variables_map& values,
                        const control_dialect& control) {
  const auto file = values["config"].as<std::string>();
  exit_code code = exit_code::kSuccess;
  auto settings = LoadNodeSettings(file, node_role::kControl, code);
  if (!settings) return code;
  std::signal(SIGPIPE, SIG_IGN);
  StartLog("marjoramsill", "info");
  controller_process process(std::move(*settings), file, control);
  return RunProcess(process);
}

void AddConfigOption(options::options_description& description) {
  description.add_options()("config", options::value<std::string>()->required(),
                            "settings file (YAML)");
}

}  // namespace

exit_code CheckNodeSettings(const std::string& file,
                            const std::string& process) {
  const node_role role =
      process == "entry" ? node_role::kEntry : node_role::kControl;
  exit_code code = exit_code::kSuccess;
  const auto settings = LoadNodeSettings(file, role, code);
  if (!settings) return code;
  std::cout << "settings of VM " << settings->vm.value() << " ok\n";
  return exit_code::kSuccess;
}

std::vector<command> FleetCommands(const request_dialect& requests,
                                   const control_dialect& control) {
  command entry;
  entry.name = "entry";
  entry.summary = "Run an entry process until SIGTERM";
  entry.options = AddConfigOption;
  entry.run = [requests, control](const options::variables_map& values) {
    return RunEntry(values, requests, control);
  };
  command controller;
  controller.name = "controller";
  controller.summary = "Run a control process until SIGTERM";
  controller.options = AddConfigOption;
  controller.run = [control](const options::variables_map& values) {
    return RunController(values, control);
  };
  return {std::move(entry), std::move(controller)};
}

}  // namespace marjoramsill
