#include "process/controller/settings_watch.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <utility>

#include "process/daemon/event_log.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{1'000};

}  // namespace

std::string ReadSettingsText(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

settings_watch::settings_watch(std::string file, change_hook on_change)
    : file_(std::move(file)),
      on_change_(std::move(on_change)),
      text_(ReadSettingsText(file_)) {}

void settings_watch::Tick(steady_time now) {
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  Reload();
}

void settings_watch::Reload() {
  std::string text = ReadSettingsText(file_);
  if (text.empty() || text == text_) return;
  const auto parsed = ParseNodeSettings(file_, text);
  text_ = std::move(text);
  if (!parsed) {
    LogEvent(log_level::kError, "settings_refused",
             {{"reason", Describe(parsed.assume_error())}});
    return;
  }
  LogEvent(log_level::kInfo, "settings_reloaded", {{"file", file_}});
  on_change_(parsed.assume_value());
}

}  // namespace marjoramsill
