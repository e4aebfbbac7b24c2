#ifndef MARJORAMSILL_PROCESS_ADMISSION_DRAIN_RATE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_DRAIN_RATE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "types/rank.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Estimates the cost per second that the capacity completes. Measures only
/// while the capacity is fully used, and per unit of cost in use, so that a
/// capacity change affects the estimate immediately. Until there are enough
/// measurements, the estimate is based on the expected service times of the
/// running requests.
class drain_rate {
 public:
  /// Accounts for the time since the last call. `used` is the cost in use and
  /// `saturated` is true if the capacity is fully used, both for that period.
  void Observe(steady_time now, bool saturated, double used);
  void OnStarted(rank own_rank, double cost, std::chrono::microseconds service);
  /// `used` is the actual cost; `cost` and `service` are the values passed to
  /// OnStarted().
  void OnEnded(double used, double cost, std::chrono::microseconds service);

  /// Estimated cost per second with `used` cost in use; empty without data.
  std::optional<double> TotalRate(double used) const;
  /// Recent cost per second admitted for this rank while the capacity was fully
  /// used.
  double Admitted(rank own_rank) const;

 private:
  void Decay(double elapsed);
  double MeanService() const;

  std::optional<steady_time> last_observed_;
  bool saturated_ = false;
  /// True once the capacity has been fully used long enough for completions to
  /// be counted.
  bool measuring_ = false;
  /// Duration of the current period of full use, in seconds.
  double saturated_seconds_ = 0;
  /// Exponentially decayed sums: completed cost, and cost in use * seconds.
  double ended_cost_ = 0;
  double used_cost_seconds_ = 0;
  /// Exponentially decayed sums for Admitted().
  std::array<double, kRankCount> admitted_cost_{};
  double admitted_seconds_ = 0;
  /// Sums over the running requests, based on their expected service times.
  double expected_rate_ = 0;
  double expected_seconds_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_DRAIN_RATE_H_
