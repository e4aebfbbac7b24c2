#ifndef MARJORAMSILL_PROCESS_CONTROLLER_LINK_TRAFFIC_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_LINK_TRAFFIC_H_

#include <array>
#include <cstdint>

#include "process/controller/link_use.h"
#include "process/controller/watch_hub.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Logs what was sent in the last second if it fills the link of this VM, since
/// the messages of the group then wait behind it, and what was held back.
class link_traffic {
 public:
  /// `link_mbps`: speed of the link, 0 if unknown.
  explicit link_traffic(double link_mbps) : link_mbps_(link_mbps) {}

  /// `sent_bytes`, `watch`: sent by this process since its start. `held_back`:
  /// updates that waited since then. Call several times a second.
  void Tick(std::uint64_t sent_bytes, const watch_hub::traffic& watch,
            const std::array<std::uint64_t, kLinkUses>& held_back,
            steady_time now);

 private:
  const double link_mbps_;
  steady_time next_check_;
  std::uint64_t sent_before_ = 0;
  watch_hub::traffic watch_before_;
  std::array<std::uint64_t, kLinkUses> held_back_before_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_LINK_TRAFFIC_H_
