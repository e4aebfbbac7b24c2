#include "process/placement/warm_up_share.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

constexpr std::chrono::seconds kPeriod{1};
constexpr double kMaxSaved = 1;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

double warm_up_share::Recent(steady_time now) const {
  const auto age = now - period_start_;
  if (age >= 2 * kPeriod) return 0;
  return age >= kPeriod ? sent_ : sent_ + sent_before_;
}

void warm_up_share::Refill(double part, steady_time now) {
  const bool had_part = std::exchange(has_part_, part > 0);
  const bool gains_part = has_part_ && !had_part;
  if (!std::exchange(is_cold_, true)) {
    allowance_ = -std::min(Recent(now), part);
    refilled_at_ = now;
    return;
  }
  if (gains_part) {
    allowance_ = std::min(allowance_, 0.0);
    refilled_at_ = now;
    return;
  }
  if (now <= refilled_at_) return;
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  allowance_ = std::min(kMaxSaved, allowance_ + part * seconds);
  refilled_at_ = now;
}

bool warm_up_share::HasAllowance(double part, steady_time now) {
  Refill(part, now);
  return part > 0 && allowance_ >= 1;
}

std::optional<std::chrono::microseconds> warm_up_share::Wait(double part,
                                                             steady_time now) {
  if (HasAllowance(part, now)) return std::chrono::microseconds(0);
  if (part <= 0) return std::nullopt;
  const double micros = (1 - allowance_) / part * kMicrosPerSecond;
  return std::chrono::microseconds(static_cast<std::int64_t>(micros) + 1);
}

void warm_up_share::Take(steady_time now) {
  // Requests that were sent although the endpoint might be cold must not delay
  // later ones by more than one.
  if (is_cold_) allowance_ = std::max(allowance_ - 1, -kMaxSaved);
  const auto age = now - period_start_;
  if (age >= kPeriod) {
    sent_before_ = age < 2 * kPeriod ? sent_ : 0;
    sent_ = 0;
    period_start_ = now;
  }
  ++sent_;
}

}  // namespace marjoramsill
