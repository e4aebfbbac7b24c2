#include "process/daemon/event_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <utility>

namespace marjoramsill {
namespace {

constexpr std::uint32_t kMaxLinesPerSecond = 200;
constexpr std::size_t kMaxValueBytes = 500;

std::atomic<bool> debug_enabled{false};

log_writer& Writer() {
  static log_writer writer;
  return writer;
}

const char* LevelText(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "unknown";
}

/// Limits the number of lines per second.
class line_limit {
 public:
  /// Returns whether a line may be written. If so, `dropped` is set to the
  /// number of lines dropped since the last one that was written.
  bool Allow(std::uint32_t& dropped) {
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    const std::lock_guard lock(mutex_);
    if (now != second_) {
      second_ = now;
      lines_ = 0;
    }
    if (++lines_ > kMaxLinesPerSecond) {
      ++dropped_;
      return false;
    }
    dropped = dropped_;
    dropped_ = 0;
    return true;
  }

 private:
  std::mutex mutex_;
  std::chrono::seconds second_{0};
  std::uint32_t lines_ = 0;
  std::uint32_t dropped_ = 0;
};

bool IsPlain(char c) {
  return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

void Write(log_level level, const std::string& line) {
  switch (level) {
    case log_level::kDebug:
    case log_level::kInfo:
      LOG(INFO) << line;
      return;
    case log_level::kWarning:
      LOG(WARNING) << line;
      return;
    case log_level::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace

void StartLog(const char* program, std::string_view level) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = level == "error"     ? google::GLOG_ERROR
                      : level == "warning" ? google::GLOG_WARNING
                                           : google::GLOG_INFO;
  debug_enabled = level == "debug";
  google::InitGoogleLogging(program);
}

std::string EscapeLogValue(std::string_view value) {
  const std::string_view shown = value.substr(0, kMaxValueBytes);
  if (!shown.empty() && std::all_of(shown.begin(), shown.end(), IsPlain)) {
    return std::string(shown);
  }
  std::string quoted = "\"";
  for (const char c : shown) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
      char code[8];
      std::snprintf(code, sizeof(code), "\\x%02x",
                    static_cast<unsigned char>(c));
      quoted += code;
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

void SetLogWriter(log_writer writer) { Writer() = std::move(writer); }

void LogEvent(log_level level, std::string_view event,
              const std::vector<log_field>& fields) {
  if (level == log_level::kDebug && !debug_enabled) return;
  if (const log_writer& writer = Writer()) {
    std::string pairs = std::string("level=") + LevelText(level);
    for (const log_field& field : fields) {
      pairs += " " + std::string(field.key) + "=" + EscapeLogValue(field.value);
    }
    writer(event, pairs);
    return;
  }
  static line_limit limit;
  std::uint32_t dropped = 0;
  if (!limit.Allow(dropped) && level != log_level::kError) return;
  std::string line = "event=" + std::string(event);
  for (const log_field& field : fields) {
    line += " " + std::string(field.key) + "=" + EscapeLogValue(field.value);
  }
  if (dropped > 0) line += " dropped_lines=" + std::to_string(dropped);
  Write(level, line);
}

}  // namespace marjoramsill
