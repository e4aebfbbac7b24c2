#ifndef MARJORAMSILL_PROCESS_DAEMON_EVENT_LOG_H_
#define MARJORAMSILL_PROCESS_DAEMON_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramsill {

enum class log_level { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line.
struct log_field {
  std::string_view key;
  std::string value;
};

/// Starts glog on standard error. `level` is debug, info, warning or error.
void StartLog(const char* program, std::string_view level);

/// Receives the lines of LogEvent() instead of glog: the event and its
/// key=value pairs. Set before threads start; must not block.
using log_writer =
    std::function<void(std::string_view event, std::string_view fields)>;
void SetLogWriter(log_writer writer);

/// Writes one line: event=NAME key=value... Values with spaces, quotes or
/// control characters are quoted and escaped. At most 200 lines a second are
/// written below level error, so that a flood of requests cannot fill the disk;
/// the number of dropped lines is logged.
void LogEvent(log_level level, std::string_view event,
              const std::vector<log_field>& fields = {});

/// Returns the value as LogEvent() writes it.
std::string EscapeLogValue(std::string_view value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_EVENT_LOG_H_
