#ifndef MARJORAMSILL_PROCESS_ENTRY_DECISION_LOG_H_
#define MARJORAMSILL_PROCESS_ENTRY_DECISION_LOG_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "process/entry/line_class.h"

namespace marjoramsill {

/// Writes log lines to standard output from a thread of its own, so that
/// callers of Write() never wait for the output. At most `kMaxLinesPerSecond`
/// lines are accepted, of which `kMaxFrequentLinesPerSecond` may be frequent
/// ones. Lines above these rates or beyond a bounded buffer are dropped and
/// counted.
class decision_log {
 public:
  struct hooks {
    /// Writes complete lines. Runs on the thread of the log.
    std::function<void(const std::string&)> output;
    /// Unix milliseconds.
    std::function<std::uint64_t()> wall_clock;
  };

  static constexpr std::uint32_t kMaxLinesPerSecond = 180;
  static constexpr std::uint32_t kMaxFrequentLinesPerSecond = 90;

  /// Writes to standard output.
  decision_log();
  explicit decision_log(hooks callbacks);
  ~decision_log();
  decision_log(const decision_log&) = delete;
  decision_log& operator=(const decision_log&) = delete;

  /// Writes "time=... event=EVENT FIELDS". `fields` is key=value pairs.
  void Write(std::string_view event, std::string_view fields,
             line_class kind = line_class::kEssential);
  /// Lines dropped since the start.
  std::uint64_t dropped() const;

 private:
  void Run();
  bool AllowsLine(line_class kind, std::uint64_t now_ms);

  static constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;

  const hooks hooks_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  std::uint64_t second_ = 0;
  std::uint32_t lines_in_second_ = 0;
  std::uint32_t frequent_in_second_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_DECISION_LOG_H_
