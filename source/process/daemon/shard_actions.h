#ifndef MARJORAMSILL_PROCESS_DAEMON_SHARD_ACTIONS_H_
#define MARJORAMSILL_PROCESS_DAEMON_SHARD_ACTIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/admission/admission_types.h"
#include "process/choice/load_table.h"
#include "process/choice/placement.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct pool_shard;

/// Condition and load of one endpoint of a placement, from membership.
struct endpoint_update {
  endpoint_index index = 0;
  endpoint_condition condition;
  std::uint32_t load = 0;
  steady_time load_at;
};

/// Passes updates to the shard's chooser. Their indexes refer to the chooser's
/// placement. Called under the shard's lock.
void ApplyUpdates(pool_shard& shard,
                  const std::vector<endpoint_update>& updates);

/// Returns the part of the pool's capacity that this VM may use: the part in
/// use by its own calls plus an equal share of the free capacity, but at least
/// an equal share of the total. Capacity thus follows demand. Called under the
/// shard's lock; `vms` is the number of VMs that share the pool.
admission_capacity CapacityShare(const pool_shard& shard, std::size_t vms);

/// Notifies the waiting calls of their admission or rejection. Holds the
/// shard's lock only while it looks up a call.
void NotifyCalls(pool_shard& shard, const admission_actions& actions);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_SHARD_ACTIONS_H_
