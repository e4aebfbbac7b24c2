#include "process/placement/warm_up_limit.h"

#include <algorithm>
#include <chrono>

namespace marjoramsill {
namespace {

/// All VMs in contact get a new place within this time, which is longer than a
/// control process holds a request.
constexpr std::chrono::seconds kSettleTime{1};
/// VMs beyond those that share whose requests stay within the bound as well.
constexpr std::uint32_t kSpareVms = 2;

}  // namespace

warm_up_limit::warm_up_limit(double per_second, const warm_up_bound& bound)
    : per_second_(per_second),
      most_(per_second * bound.overage + bound.slack),
      current_(Divide({})),
      former_(current_) {}

warm_up_limit::division warm_up_limit::Divide(
    const fleet_position& position) const {
  const std::uint32_t count = std::max(position.entry_count, 1U);
  const auto most_sharing = static_cast<std::uint32_t>(
      std::clamp(most_, 1.0, static_cast<double>(count)));
  // A bound below two requests a second leaves no room for a second VM.
  division best{position, 1, std::min(per_second_, most_ / 2)};
  const std::uint32_t spare = std::min(kSpareVms, count - 1);
  double best_total = 0;
  for (std::uint32_t sharing = 1; sharing <= most_sharing; ++sharing) {
    const double each = most_ / (sharing + spare) - 1;
    const double total = std::min(per_second_, sharing * each);
    if (each <= 0 || total < best_total) continue;
    best_total = total;
    best.sharing = sharing;
    best.per_second = total / sharing;
  }
  return best;
}

double warm_up_limit::PartOf(const division& divided, std::uint64_t order) {
  const std::uint32_t count = std::max(divided.position.entry_count, 1U);
  const std::uint64_t place = (divided.position.entry_index + order) % count;
  // Every n-th place, so that the VMs that share are of several failure domains
  // if those of a domain have consecutive places.
  const bool shares = place * divided.sharing % count < divided.sharing;
  return shares ? divided.per_second : 0;
}

void warm_up_limit::SetPosition(const fleet_position& position,
                                steady_time now) {
  if (position == current_.position) return;
  if (now >= settled_at_) former_ = current_;
  current_ = Divide(position);
  settled_at_ = now + kSettleTime;
}

double warm_up_limit::PartOf(std::uint64_t order, steady_time now) const {
  const double part = PartOf(current_, order);
  return now < settled_at_ ? std::min(part, PartOf(former_, order)) : part;
}

double warm_up_limit::MaxWeight() const {
  return std::max(1.0, static_cast<double>(current_.position.entry_count) /
                           current_.sharing);
}

}  // namespace marjoramsill
