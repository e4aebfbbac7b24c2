#ifndef MARJORAMSILL_REQUEST_ATTEMPT_SETTINGS_H_
#define MARJORAMSILL_REQUEST_ATTEMPT_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "request/body_collector.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct attempt_settings {
  bool streamed = false;
  steady_time deadline;
  /// Targets of the rank.
  std::chrono::microseconds first_event_target = std::chrono::seconds(1);
  std::chrono::microseconds between_events_target =
      std::chrono::milliseconds(50);
  std::size_t max_attempts = 4;
  std::size_t max_body_bytes = body_collector::kDefaultMaxBytes;
  std::chrono::seconds retry_after = std::chrono::seconds(2);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ATTEMPT_SETTINGS_H_
