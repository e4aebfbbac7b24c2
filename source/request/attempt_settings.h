#ifndef MARJORAMSILL_REQUEST_ATTEMPT_SETTINGS_H_
#define MARJORAMSILL_REQUEST_ATTEMPT_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "request/body_collector.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Settings of one repeatable call.
struct attempt_settings {
  bool streamed = false;
  steady_time deadline;
  /// Latency targets of the rank; the timeouts are derived from them.
  std::chrono::microseconds first_event_target = std::chrono::seconds(1);
  std::chrono::microseconds between_events_target =
      std::chrono::milliseconds(50);
  /// Including the first attempt.
  std::size_t max_attempts = 4;
  std::size_t max_body_bytes = body_collector::kDefaultMaxBytes;
  /// Base of the jittered Retry-After of a failure.
  std::chrono::seconds retry_after = std::chrono::seconds(2);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ATTEMPT_SETTINGS_H_
