#include "process/placement/endpoint_terms.h"

#include <algorithm>

#include "process/placement/stated_terms.h"

namespace marjoramsill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A longer pause ends after this time.
constexpr milliseconds kMaxPause{3'600'000};
/// VMs return within this part of the pause after its end, so that the endpoint
/// does not get the requests of all at once.
constexpr double kReturnShare = 0.2;
constexpr milliseconds kMaxReturnDelay{500};
/// The record of a restart may arrive this long after the first response of the
/// restarted endpoint.
constexpr milliseconds kMaxPauseAfterRestart{10'000};

}  // namespace

endpoint_terms::endpoint_terms(endpoint_digest endpoint)
    : endpoint_(endpoint), limit_(endpoint.value()) {}

void endpoint_terms::Record(const stated_terms& stated, bool is_success,
                            double spread, steady_time now) {
  if (stated.limit || is_success) RecordLimit(stated.limit, now);
  if (stated.refusal_limit || is_success) {
    RecordRefusalLimit(stated.refusal_limit.value_or(kUnlimitedRefusals), now);
  }
  RecordOwn(stated, spread, now);
}

void endpoint_terms::RecordOwn(const stated_terms& stated, double spread,
                               steady_time now) {
  if (stated.is_leaving) is_leaving_ = true;
  if (stated.pause) RecordPause(*stated.pause, spread, now);
}

void endpoint_terms::RecordPause(milliseconds asked, double spread,
                                 steady_time now) {
  const milliseconds pause = std::min(asked, kMaxPause);
  const auto most = std::min<microseconds>(
      std::chrono::duration_cast<microseconds>(pause * kReturnShare),
      kMaxReturnDelay);
  const auto delay = std::chrono::duration_cast<microseconds>(most * spread);
  paused_at_ = now;
  paused_until_ = std::max(paused_until_, now + pause + delay);
}

void endpoint_terms::RecordLimit(std::optional<double> per_second,
                                 steady_time now) {
  // The other VMs have to know of a limit, and of its end.
  if (per_second || limit_.per_second()) is_shared_ = false;
  limit_.Record(per_second, now);
  stated_at_ = now;
}

void endpoint_terms::RecordRefusalLimit(std::uint32_t refusals,
                                        steady_time now) {
  const std::uint32_t known = refusal_limit_.value_or(kUnlimitedRefusals);
  // A limit is shared again and again, since a control process forgets it.
  if (refusals != kUnlimitedRefusals || known != kUnlimitedRefusals) {
    is_shared_ = false;
  }
  refusal_limit_ = refusals;
  refusal_limit_at_ = now;
  stated_at_ = now;
}

void endpoint_terms::RecordShared(std::optional<double> limit,
                                  std::optional<std::uint32_t> refusal_limit,
                                  steady_time measured_at) {
  limit_.RecordShared(limit, measured_at);
  if (!refusal_limit) return;
  if (refusal_limit_ && measured_at <= refusal_limit_at_) return;
  refusal_limit_ = refusal_limit;
  refusal_limit_at_ = measured_at;
}

void endpoint_terms::Restart() {
  limit_ = limit_share(endpoint_.value());
  is_shared_ = true;
  is_leaving_ = false;
  // That it named no limit says nothing about its new start.
  if (refusal_limit_ == kUnlimitedRefusals) refusal_limit_.reset();
  paused_until_ = std::min(paused_until_, paused_at_ + kMaxPauseAfterRestart);
}

microseconds endpoint_terms::PauseLeft(steady_time now) const {
  return std::max(microseconds(0), std::chrono::duration_cast<microseconds>(
                                       paused_until_ - now));
}

}  // namespace marjoramsill
