#ifndef MARJORAMSILL_PROCESS_CONTROLLER_SETTINGS_WATCH_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_SETTINGS_WATCH_H_

#include <functional>
#include <string>

#include "process/controller/node_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Reads the settings file again when it was changed, with or without a
/// signal. Settings that cannot be read change nothing.
class settings_watch {
 public:
  using change_hook = std::function<void(const node_settings&)>;

  settings_watch(std::string file, change_hook on_change);

  /// Looks at the file, at most once a second.
  void Tick(steady_time now);
  /// Reads it now.
  void Reload();

 private:
  const std::string file_;
  const change_hook on_change_;
  std::string text_;
  steady_time next_look_;
};

/// The text of a file; empty if it cannot be read.
std::string ReadSettingsText(const std::string& file);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_SETTINGS_WATCH_H_
