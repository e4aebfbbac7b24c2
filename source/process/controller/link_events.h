#ifndef MARJORAMSILL_PROCESS_CONTROLLER_LINK_EVENTS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_LINK_EVENTS_H_

#include <array>
#include <cstdint>

#include "process/controller/link_use.h"
#include "process/controller/watch_hub.h"

namespace marjoramsill {

// Log lines of a control process about its link.

/// The link was busy in the last second. `bytes`: sent in it; `watch`,
/// `before`: responses to watchers up to its end and its start.
void LogBusyLink(std::uint64_t bytes, const watch_hub::traffic& watch,
                 const watch_hub::traffic& before);
/// Updates for watchers waited for the link in the last second. Arguments:
/// those up to its end and its start. No line if there were none.
void LogHeldBack(const std::array<std::uint64_t, kLinkUses>& held_back,
                 const std::array<std::uint64_t, kLinkUses>& before);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_LINK_EVENTS_H_
