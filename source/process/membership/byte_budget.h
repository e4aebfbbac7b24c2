#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_BYTE_BUDGET_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_BYTE_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "types/steady_time.h"

namespace marjoramsill {

/// Token bucket that limits sent bytes. It starts full.
class byte_budget {
 public:
  byte_budget(std::int64_t bytes_per_second, std::int64_t burst)
      : rate_(bytes_per_second), burst_(burst), available_(burst) {}

  /// Deducts the bytes if they are available; otherwise returns false and
  /// leaves the budget unchanged.
  bool TryTake(std::int64_t bytes, steady_time now) {
    Refill(now);
    if (available_ < bytes) return false;
    available_ -= bytes;
    return true;
  }
  /// Deducts the bytes even if that overdraws the bucket, for messages that
  /// must not be delayed.
  void Charge(std::int64_t bytes, steady_time now) {
    Refill(now);
    available_ -= bytes;
  }
  /// Bytes in the bucket; negative when it is overdrawn.
  std::int64_t Available(steady_time now) {
    Refill(now);
    return available_;
  }

 private:
  void Refill(steady_time now) {
    if (now <= last_) return;
    const std::int64_t micros =
        std::min<std::int64_t>((now - last_).count(), 60'000'000);
    const std::int64_t refill = rate_ * micros / 1'000'000;
    if (refill == 0) return;
    available_ = std::min(burst_, available_ + refill);
    // Advances last_ only by the time of whole bytes, so that the fraction of
    // a byte counts in the next interval.
    const bool full = available_ == burst_ || micros == 60'000'000;
    last_ = full ? now
                 : last_ + std::chrono::microseconds(
                               (refill * 1'000'000 + rate_ - 1) / rate_);
  }

  std::int64_t rate_;
  std::int64_t burst_;
  std::int64_t available_;
  steady_time last_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_BYTE_BUDGET_H_
