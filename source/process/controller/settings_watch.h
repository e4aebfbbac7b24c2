#ifndef MARJORAMSILL_PROCESS_CONTROLLER_SETTINGS_WATCH_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_SETTINGS_WATCH_H_

#include <functional>
#include <string>

#include "process/controller/node_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Reloads the settings file when it changes, with or without a signal. Invalid
/// settings are ignored.
class settings_watch {
 public:
  using change_hook = std::function<void(const node_settings&)>;

  settings_watch(std::string file, change_hook on_change);

  /// Checks the file for changes, at most once per second.
  void Tick(steady_time now);
  /// Checks the file now.
  void Reload();

 private:
  const std::string file_;
  const change_hook on_change_;
  std::string text_;
  steady_time next_check_;
};

/// The content of a file; empty if it cannot be read.
std::string ReadSettingsText(const std::string& file);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_SETTINGS_WATCH_H_
