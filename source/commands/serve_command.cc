#include <csignal>
#include <iostream>
#include <optional>
#include <string>

#include "commands/command.h"
#include "commands/file_text.h"
#include "process/daemon/event_log.h"
#include "process/daemon/router_process.h"
#include "process/daemon/settings.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;

constexpr const char* kServe = "serve";

/// Reads a settings file. On failure, prints one line and sets `code`.
std::optional<settings> LoadSettings(const std::string& path, exit_code& code) {
  const auto text = ReadFileText(path);
  if (!text) {
    std::cerr << "marjoramsill: cannot read the settings file " << path << "\n";
    code = exit_code::kFailure;
    return std::nullopt;
  }
  auto parsed = ParseSettings(path, *text);
  if (!parsed) {
    std::cerr << "marjoramsill: " << Describe(parsed.assume_error()) << "\n";
    code = exit_code::kInvalid;
    return std::nullopt;
  }
  return parsed.assume_value();
}

exit_code Serve(const options::variables_map& values) {
  exit_code code = exit_code::kSuccess;
  const auto loaded = LoadSettings(values["config"].as<std::string>(), code);
  if (!loaded) return code;
  // All threads inherit this mask, so only Run() receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  StartLog("marjoramsill", loaded->log_level);
  router_process process(*loaded);
  const auto started = process.Start();
  if (!started) {
    const start_error& error = started.assume_error();
    std::cerr << "marjoramsill serve: " << error.subject << ": " << error.reason
              << "\n";
    return exit_code::kFailure;
  }
  return process.Run() == 0 ? exit_code::kSuccess : exit_code::kFailure;
}

exit_code CheckSettings(const options::variables_map& values) {
  exit_code code = exit_code::kSuccess;
  const auto process = values["process"].as<std::string>();
  if (process != kServe) {
    return CheckNodeSettings(values["FILE"].as<std::string>(), process);
  }
  const auto loaded = LoadSettings(values["FILE"].as<std::string>(), code);
  if (loaded) std::cout << "settings of VM " << loaded->vm.value() << " ok\n";
  return code;
}

void CheckProcessName(const std::string& name) {
  if (name == kServe || name == "entry" || name == "controller") return;
  throw options::error("--process: found \"" + name +
                       "\", allowed are serve, entry and controller");
}

}  // namespace

command ServeCommand() {
  command serve;
  serve.name = "serve";
  serve.summary = "Run the process of one VM until SIGTERM";
  serve.options = [](options::options_description& description) {
    description.add_options()("config",
                              options::value<std::string>()->required(),
                              "settings file (YAML)");
  };
  serve.run = Serve;
  return serve;
}

command SettingsCheckCommand() {
  command check;
  check.name = "settings check";
  check.summary = "Check a settings file without starting a process";
  check.arguments = {"FILE"};
  check.options = [](options::options_description& description) {
    description.add_options()(
        "process",
        options::value<std::string>()->default_value(kServe)->notifier(
            CheckProcessName),
        "process that the file is for: serve, entry or "
        "controller");
  };
  check.run = CheckSettings;
  return check;
}

}  // namespace marjoramsill
