#include "process/controller/link_traffic.h"

#include <chrono>
#include <string>
#include <utility>

#include "process/daemon/event_log.h"

namespace marjoramsill {
namespace {

/// Above this share of the link's speed, the traffic is logged each second.
constexpr double kBusyLinkShare = 0.5;
constexpr std::chrono::seconds kTrafficInterval{1};
constexpr double kBytesPerMegabit = 1e6 / 8;

}  // namespace

void link_traffic::Tick(std::uint64_t sent_bytes,
                        const watch_hub::traffic& watch, steady_time now) {
  if (now < next_check_) return;
  next_check_ = now + kTrafficInterval;
  const std::uint64_t bytes =
      sent_bytes - std::exchange(sent_before_, sent_bytes);
  const watch_hub::traffic before = std::exchange(watch_before_, watch);
  const double busy = kBusyLinkShare * kBytesPerMegabit * link_mbps_;
  if (busy <= 0 || static_cast<double>(bytes) < busy) return;
  LogEvent(log_level::kInfo, "link_busy",
           {{"sent_bytes", std::to_string(bytes)},
            {"watch_bytes", std::to_string(watch.bytes - before.bytes)},
            {"responses", std::to_string(watch.responses - before.responses)},
            {"records", std::to_string(watch.records - before.records)},
            {"loads", std::to_string(watch.loads - before.loads)}});
}

}  // namespace marjoramsill
