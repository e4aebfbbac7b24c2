#include "request/retry_budget.h"

#include <algorithm>

namespace marjoramsill {

void retry_budget::CountFirstAttempt() {
  ++first_;
  credit_ = std::min(credit_ + 1, kFirstPerExtra * kRetryReserve);
}

bool retry_budget::TakeExtraAttempt() {
  if (credit_ < kFirstPerExtra) {
    ++denied_;
    return false;
  }
  credit_ -= kFirstPerExtra;
  ++extra_;
  return true;
}

std::uint64_t retry_budget::reserve_used() const {
  const std::uint64_t earned = first_ / kFirstPerExtra;
  return extra_ > earned ? extra_ - earned : 0;
}

}  // namespace marjoramsill
