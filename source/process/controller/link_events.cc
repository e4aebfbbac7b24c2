#include "process/controller/link_events.h"

#include <cstddef>
#include <string>

#include "process/daemon/event_log.h"

namespace marjoramsill {

void LogBusyLink(std::uint64_t bytes, const watch_hub::traffic& watch,
                 const watch_hub::traffic& before) {
  LogEvent(log_level::kInfo, "link_busy",
           {{"sent_bytes", std::to_string(bytes)},
            {"watch_bytes", std::to_string(watch.bytes - before.bytes)},
            {"responses", std::to_string(watch.responses - before.responses)},
            {"records", std::to_string(watch.records - before.records)},
            {"loads", std::to_string(watch.loads - before.loads)}});
}

void LogHeldBack(const std::array<std::uint64_t, kLinkUses>& held_back,
                 const std::array<std::uint64_t, kLinkUses>& before) {
  if (held_back == before) return;
  const auto count = [&](link_use use) {
    const auto at = static_cast<std::size_t>(use);
    return std::to_string(held_back[at] - before[at]);
  };
  LogEvent(log_level::kInfo, "watch_held_back",
           {{"urgent", count(link_use::kUrgent)},
            {"records", count(link_use::kRecords)},
            {"loads", count(link_use::kLoads)},
            {"urgent_contents", count(link_use::kUrgentContents)},
            {"contents", count(link_use::kContents)}});
}

}  // namespace marjoramsill
