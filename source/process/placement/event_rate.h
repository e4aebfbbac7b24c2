#ifndef MARJORAMSILL_PROCESS_PLACEMENT_EVENT_RATE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_EVENT_RATE_H_

#include <chrono>
#include <cmath>

#include "types/steady_time.h"

namespace marjoramsill {

/// Rate of events, averaged over the last seconds with exponential weights.
class event_rate {
 public:
  void Count(steady_time now) {
    per_second_ = PerSecond(now) + 1 / kAveragedSeconds;
    counted_at_ = now;
  }
  double PerSecond(steady_time now) const {
    const std::chrono::duration<double> since = now - counted_at_;
    return per_second_ * std::exp(-since.count() / kAveragedSeconds);
  }

 private:
  static constexpr double kAveragedSeconds = 3;

  double per_second_ = 0;
  steady_time counted_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_EVENT_RATE_H_
