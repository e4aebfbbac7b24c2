#include "request/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace marjoramsill {

void retry_budget::SetRatio(double ratio) {
  constexpr double kMaxRatio = 1.0 / kFirstPerExtra;
  const double scaled = std::clamp(ratio / kMaxRatio, 0.0, 1.0);
  earned_per_first_ = static_cast<std::uint64_t>(
      std::llround(scaled * static_cast<double>(kCreditPerFirst)));
}

void retry_budget::CountFirstAttempt() {
  ++first_;
  credit_ = std::min(credit_ + earned_per_first_, kMaxCredit);
}

bool retry_budget::TakeExtraAttempt() {
  if (credit_ < kCreditPerExtra || earned_per_first_ == 0) {
    ++denied_;
    return false;
  }
  credit_ -= kCreditPerExtra;
  ++extra_;
  return true;
}

std::uint64_t retry_budget::reserve_used() const {
  const std::uint64_t earned = first_ / kFirstPerExtra;
  return extra_ > earned ? extra_ - earned : 0;
}

}  // namespace marjoramsill
