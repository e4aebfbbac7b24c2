#ifndef MARJORAMSILL_PROCESS_PLACEMENT_RETRY_WINDOW_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_RETRY_WINDOW_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "process/placement/retry_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// This process's share of the fleet's retry budget for one pool. The budget
/// applies to any window of time, so requests and retries are counted over a
/// sliding window.
class retry_window {
 public:
  explicit retry_window(retry_settings settings);

  void RecordRequest(steady_time now);
  /// Takes one retry from the budget, or returns false if it is used up.
  /// `entry_count`: entry VMs that share the fixed part of the budget.
  bool TakeRetry(std::uint32_t entry_count, steady_time now);

 private:
  static constexpr std::size_t kBuckets = 10;
  struct bucket {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };
  /// Clears the buckets that have left the window.
  void Advance(steady_time now);

  const retry_settings settings_;
  std::array<bucket, kBuckets> buckets_{};
  /// Number of the current bucket since the epoch of the clock.
  std::uint64_t current_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_RETRY_WINDOW_H_
