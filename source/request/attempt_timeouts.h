#ifndef MARJORAMSILL_REQUEST_ATTEMPT_TIMEOUTS_H_
#define MARJORAMSILL_REQUEST_ATTEMPT_TIMEOUTS_H_

#include <chrono>

namespace marjoramsill {

/// Longest wait for the first event of an attempt, and for each later event.
struct attempt_timeouts {
  std::chrono::microseconds first_event;
  std::chrono::microseconds between_events;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ATTEMPT_TIMEOUTS_H_
