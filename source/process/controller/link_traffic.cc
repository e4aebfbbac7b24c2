#include "process/controller/link_traffic.h"

#include <chrono>
#include <utility>

#include "process/controller/link_events.h"

namespace marjoramsill {
namespace {

/// Above this share of the link's speed, the traffic is logged each second.
constexpr double kBusyLinkShare = 0.5;
constexpr std::chrono::seconds kTrafficInterval{1};
constexpr double kBytesPerMegabit = 1e6 / 8;

}  // namespace

void link_traffic::Tick(std::uint64_t sent_bytes,
                        const watch_hub::traffic& watch,
                        const std::array<std::uint64_t, kLinkUses>& held_back,
                        steady_time now) {
  if (now < next_check_) return;
  next_check_ = now + kTrafficInterval;
  LogHeldBack(held_back, held_back_before_);
  held_back_before_ = held_back;
  const std::uint64_t bytes =
      sent_bytes - std::exchange(sent_before_, sent_bytes);
  const watch_hub::traffic before = std::exchange(watch_before_, watch);
  const double busy = kBusyLinkShare * kBytesPerMegabit * link_mbps_;
  if (busy <= 0 || static_cast<double>(bytes) < busy) return;
  LogBusyLink(bytes, watch, before);
}

}  // namespace marjoramsill
