#ifndef MARJORAMSILL_TYPES_STEADY_TIME_H_
#define MARJORAMSILL_TYPES_STEADY_TIME_H_

#include <chrono>

namespace marjoramsill {

/// Clock type for all deadlines and leases. It has no now(): decision code
/// receives the current time as an argument, so that tests and simulations can
/// run it in virtual time.
struct steady_timeline {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<steady_timeline>;
  // NOLINTNEXTLINE(readability-identifier-naming): required of a clock.
  static constexpr bool is_steady = true;
};

using steady_time = steady_timeline::time_point;

/// Converts a duration to fractional milliseconds, for logs and estimates.
inline double MillisOf(std::chrono::microseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_STEADY_TIME_H_
