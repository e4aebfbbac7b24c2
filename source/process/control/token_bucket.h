#ifndef MARJORAMSILL_PROCESS_CONTROL_TOKEN_BUCKET_H_
#define MARJORAMSILL_PROCESS_CONTROL_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

#include "types/steady_time.h"

namespace marjoramsill {

/// Byte rate limit for sent and received messages. The balance may be negative:
/// urgent messages are sent at once, and paced messages wait until the balance
/// is positive again.
class token_bucket {
 public:
  token_bucket(std::int64_t bytes_per_second, std::int64_t burst_bytes)
      : rate_(bytes_per_second), burst_(burst_bytes), bytes_(burst_bytes) {}

  /// Bytes available now; negative while in debt.
  std::int64_t Available(steady_time now) {
    const auto elapsed = (now - updated_).count();
    if (elapsed <= 0) return bytes_;
    // Limits the product to far below 2^63. The bucket is full after an hour.
    constexpr std::int64_t kMaxElapsed = 3'600'000'000;
    const std::int64_t added =
        rate_ * std::min<std::int64_t>(elapsed, kMaxElapsed) / 1'000'000;
    if (added == 0) return bytes_;
    bytes_ = std::min(burst_, bytes_ + added);
    updated_ = now;
    return bytes_;
  }
  void Debit(steady_time now, std::int64_t bytes) {
    Available(now);
    bytes_ -= bytes;
  }
  /// As above. The debt that results is at most `max_debt`.
  void Debit(steady_time now, std::int64_t bytes, std::int64_t max_debt) {
    Debit(now, bytes);
    bytes_ = std::max(bytes_, -max_debt);
  }

 private:
  std::int64_t rate_;
  std::int64_t burst_;
  std::int64_t bytes_;
  steady_time updated_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_TOKEN_BUCKET_H_
