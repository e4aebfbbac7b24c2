#ifndef MARJORAMSILL_PROCESS_REPLICATION_REPAIR_PLAN_H_
#define MARJORAMSILL_PROCESS_REPLICATION_REPAIR_PLAN_H_

#include <chrono>
#include <optional>
#include <vector>

#include "process/replication/group_configuration.h"
#include "process/replication/raft_settings.h"

namespace marjoramsill {

/// State of one member as observed by the leader.
struct member_health {
  member_id id;
  /// Time since the last message from the member.
  std::chrono::microseconds unresponsive_for{0};
  /// A message was received recently: within the shortest election timeout for
  /// a voter, and longer for a standby, which receives fewer heartbeats.
  bool active = false;
  /// The member holds, durably, all committed entries, so that it may be
  /// promoted to voter.
  bool caught_up = false;
  /// The member has requested its removal.
  bool leaving = false;
};

/// Returns the next configuration, which differs from `current` by a single
/// step, or nothing if no change is needed or possible.
std::optional<group_configuration> PlanRepair(
    const group_configuration& current, const member_id& leader,
    const std::vector<member_health>& health, const raft_settings& settings);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_REPAIR_PLAN_H_
