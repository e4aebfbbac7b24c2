#ifndef MARJORAMSILL_REQUEST_RETRY_BUDGET_H_
#define MARJORAMSILL_REQUEST_RETRY_BUDGET_H_

#include <cstdint>

namespace marjoramsill {

/// Token bucket that limits the extra attempts (retries, resumes and replays)
/// of one shard. Ten first attempts earn one extra attempt. The bucket starts
/// full with kRetryReserve extra attempts and holds at most that many, so that
/// over any period
///   extra <= first / 10 + kRetryReserve.
/// Guarded by the lock of its shard.
class retry_budget {
 public:
  static constexpr std::uint64_t kFirstPerExtra = 10;
  /// Allows a shard with little traffic to retry its first few failures.
  static constexpr std::uint64_t kRetryReserve = 10;

  /// Sets the extra attempts per first attempt, 0 to 0.10, from a policy
  /// version. Values outside are clamped. Zero allows no extra attempt.
  void SetRatio(double ratio);
  void CountFirstAttempt();
  /// Takes one extra attempt; returns false if none is left.
  bool TakeExtraAttempt();

  std::uint64_t first_attempts() const { return first_; }
  std::uint64_t extra_attempts() const { return extra_; }
  std::uint64_t denied_attempts() const { return denied_; }
  /// Extra attempts in excess of a tenth of the first attempts.
  std::uint64_t reserve_used() const;

 private:
  /// Credit of one first attempt at the maximum ratio. The unit is small, so
  /// that lower ratios can be represented.
  static constexpr std::uint64_t kCreditPerFirst = 1000;
  static constexpr std::uint64_t kCreditPerExtra =
      kFirstPerExtra * kCreditPerFirst;
  static constexpr std::uint64_t kMaxCredit = kRetryReserve * kCreditPerExtra;

  std::uint64_t credit_ = kMaxCredit;
  std::uint64_t earned_per_first_ = kCreditPerFirst;
  std::uint64_t first_ = 0;
  std::uint64_t extra_ = 0;
  std::uint64_t denied_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_RETRY_BUDGET_H_
