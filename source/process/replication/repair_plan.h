#ifndef MARJORAMSILL_PROCESS_REPLICATION_REPAIR_PLAN_H_
#define MARJORAMSILL_PROCESS_REPLICATION_REPAIR_PLAN_H_

#include <chrono>
#include <optional>
#include <vector>

#include "process/replication/group_configuration.h"
#include "process/replication/raft_settings.h"

namespace marjoramsill {

/// What the leader knows of one member.
struct member_health {
  member_id id;
  std::chrono::microseconds silent_for{0};
  /// Heard from within the shortest election timeout.
  bool active = false;
  bool caught_up = false;
  /// Asked to be removed.
  bool leaving = false;
};

/// Returns the next configuration, one step from the given one, or nothing
/// when no change is needed or possible.
std::optional<group_configuration> PlanRepair(
    const group_configuration& current, const member_id& leader,
    const std::vector<member_health>& health, const raft_settings& settings);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_REPAIR_PLAN_H_
