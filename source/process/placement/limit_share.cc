#include "process/placement/limit_share.h"

#include <algorithm>
#include <cmath>

namespace marjoramsill {
namespace {

/// The rate doubles each second for this time after a limit was lifted, so that
/// the load returns gradually. Then it is unlimited.
constexpr std::chrono::seconds kReturnTime{4};
/// The age of news from another VM does not include their way here, which takes
/// up to this time.
constexpr std::chrono::milliseconds kSharingDelay{300};
/// A part of the limit that was not used is kept for this time, and for one
/// request at least.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 1;
/// VMs beyond the limit's requests per second that share it. Each may send one
/// request at once that it has saved up, which must not exceed the limit by
/// much.
constexpr std::uint32_t kExtraVms = 2;
constexpr double kMicrosPerSecond = 1e6;

double SecondsOf(std::chrono::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void limit_share::RecordShared(std::optional<double> per_second,
                               steady_time measured_at) {
  if (measured_at < measured_at_ + kSharingDelay) return;
  Record(per_second, measured_at);
}

void limit_share::Record(std::optional<double> per_second, steady_time now) {
  measured_at_ = now;
  if (per_second) {
    if (!per_second_) {
      tokens_ = 0;
      refilled_at_ = now;
    }
    per_second_ = per_second;
    lifted_at_.reset();
  } else if (per_second_ && !lifted_at_) {
    lifted_at_ = now;
  }
}

std::optional<double> limit_share::per_second() const {
  return lifted_at_ ? std::nullopt : per_second_;
}

bool limit_share::IsFree(steady_time now) const {
  return !per_second_ || (lifted_at_ && now - *lifted_at_ > kReturnTime);
}

double limit_share::Rate(const fleet_position& position,
                         steady_time now) const {
  if (!lifted_at_) return PartOf(*per_second_, position);
  const double growth = std::exp2(SecondsOf(now - *lifted_at_));
  return growth * std::max(PartOf(*per_second_, position), usual_rate_);
}

double limit_share::PartOf(double limit, const fleet_position& position) const {
  const std::uint32_t count = std::max(position.entry_count, 1U);
  const double most = std::min<double>(count, limit + kExtraVms);
  const auto sharing = std::max(static_cast<std::uint32_t>(most), 1U);
  if ((position.entry_index + order_) % count >= sharing) return 0;
  return limit / sharing;
}

std::optional<double> limit_share::OwnRate(const fleet_position& position,
                                           steady_time now) const {
  if (IsFree(now)) return std::nullopt;
  return Rate(position, now);
}

void limit_share::Refill(const fleet_position& position, steady_time now) {
  if (now <= refilled_at_) return;
  const double rate = Rate(position, now);
  const double burst = std::max(kMinBurst, rate * kBurstSeconds);
  tokens_ = std::min(burst, tokens_ + rate * SecondsOf(now - refilled_at_));
  refilled_at_ = now;
}

bool limit_share::HasAllowance(const fleet_position& position,
                               steady_time now) {
  if (IsFree(now)) {
    per_second_.reset();
    lifted_at_.reset();
    return true;
  }
  Refill(position, now);
  return tokens_ >= 1;
}

void limit_share::Take(steady_time now) {
  if (!IsFree(now)) tokens_ -= 1;
}

std::optional<std::chrono::microseconds> limit_share::Wait(
    const fleet_position& position, steady_time now) {
  if (HasAllowance(position, now)) return std::chrono::microseconds(0);
  const double rate = Rate(position, now);
  if (rate <= 0) return std::nullopt;
  const double micros = (1 - tokens_) / rate * kMicrosPerSecond;
  return std::chrono::microseconds(static_cast<std::int64_t>(micros) + 1);
}

}  // namespace marjoramsill
