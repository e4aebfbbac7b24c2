#ifndef MARJORAMSILL_PROCESS_ADMISSION_DRAIN_RATE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_DRAIN_RATE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "types/rank.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Estimates the cost per second that the capacity drains. Measured only while
/// the capacity is fully used, per unit of capacity, so that a change of the
/// capacity changes the estimate at once.
class drain_rate {
 public:
  /// Accounts for the time since the last call, in which the capacity was
  /// fully used or not.
  void Observe(steady_time now, bool saturated, double capacity);
  void Started(rank of, double cost, std::chrono::microseconds service);
  /// `used` is the cost really had; the others are those given to Started.
  void Ended(double used, double cost, std::chrono::microseconds service);

  /// Cost per second at this capacity; none while nothing was ever started.
  std::optional<double> Total(double capacity) const;
  /// Cost per second admitted lately in this rank.
  double Admitted(rank of) const;

 private:
  double MeanService() const;

  std::optional<steady_time> last_;
  /// Length of the present fully used time, in seconds.
  double saturated_for_ = 0;
  /// Decayed sums: cost ended, and capacity * seconds.
  double ended_cost_ = 0;
  double capacity_seconds_ = 0;
  bool measuring_ = false;
  /// Decayed cost and seconds for Admitted().
  std::array<double, kRankCount> admitted_cost_{};
  double admitted_seconds_ = 0;
  /// Sums over running requests, from the expected service times.
  double expected_rate_ = 0;
  double expected_seconds_ = 0;
  std::uint32_t running_ = 0;
  double last_expected_rate_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_DRAIN_RATE_H_
