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
/// the capacity is fully used, and per unit of cost in use, so that a change of
/// the capacity changes the estimate at once. Until enough is measured, the
/// expected service times of the running requests are used.
class drain_rate {
 public:
  /// Accounts for the time since the last call. `used` is the cost in use and
  /// `saturated` whether the capacity is fully used, both during that time.
  void Observe(steady_time now, bool saturated, double used);
  void Started(rank of, double cost, std::chrono::microseconds service);
  /// `used` is the cost really had; the others are those given to Started.
  void Ended(double used, double cost, std::chrono::microseconds service);

  /// Cost per second with this cost in use; none while nothing is known.
  std::optional<double> Total(double used) const;
  /// Cost per second that this rank lately took from fully used capacity.
  double Admitted(rank of) const;

 private:
  void Decay(double passed);
  double MeanService() const;

  std::optional<steady_time> last_;
  bool saturated_ = false;
  /// Whether ends count: the capacity has been fully used long enough.
  bool measuring_ = false;
  /// Length of the present fully used time, in seconds.
  double saturated_for_ = 0;
  /// Decayed sums: cost ended, and cost in use * seconds.
  double ended_cost_ = 0;
  double used_seconds_ = 0;
  /// Decayed sums for Admitted().
  std::array<double, kRankCount> admitted_cost_{};
  double admitted_seconds_ = 0;
  /// Sums over running requests, from the expected service times.
  double expected_rate_ = 0;
  double expected_seconds_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_DRAIN_RATE_H_
