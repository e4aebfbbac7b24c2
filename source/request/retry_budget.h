#ifndef MARJORAMSILL_REQUEST_RETRY_BUDGET_H_
#define MARJORAMSILL_REQUEST_RETRY_BUDGET_H_

#include <cstdint>

namespace marjoramsill {

/// Token bucket of one shard. Ten first attempts earn one extra attempt (retry,
/// resume or replay). The bucket starts full with kRetryReserve extra attempts
/// and holds no more than that, so that over any time
///   extra <= first / 10 + kRetryReserve.
/// Guarded by the lock of its shard.
class retry_budget {
 public:
  static constexpr std::uint64_t kFirstPerExtra = 10;
  /// Lets a shard with little traffic repeat its first few failures.
  static constexpr std::uint64_t kRetryReserve = 10;

  /// Extra attempts per first attempt, 0 to 0.10, from a policy version. Zero
  /// allows none.
  void SetShare(double share);
  void CountFirstAttempt();
  /// Takes one extra attempt; false if none is left.
  bool TakeExtraAttempt();

  std::uint64_t first_attempts() const { return first_; }
  std::uint64_t extra_attempts() const { return extra_; }
  std::uint64_t denied_attempts() const { return denied_; }
  /// Extra attempts beyond a tenth of the first attempts.
  std::uint64_t reserve_used() const;

 private:
  /// Credit is counted in parts, so that shares below a tenth are exact.
  static constexpr std::uint64_t kCreditPerFirst = 1000;
  static constexpr std::uint64_t kCreditPerExtra =
      kFirstPerExtra * kCreditPerFirst;
  static constexpr std::uint64_t kMostCredit = kRetryReserve * kCreditPerExtra;

  std::uint64_t credit_ = kMostCredit;
  std::uint64_t earned_per_first_ = kCreditPerFirst;
  std::uint64_t first_ = 0;
  std::uint64_t extra_ = 0;
  std::uint64_t denied_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_RETRY_BUDGET_H_
