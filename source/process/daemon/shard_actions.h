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

/// What membership knows of one endpoint of a placement.
struct endpoint_update {
  endpoint_index index = 0;
  endpoint_condition condition;
  std::uint32_t load = 0;
  steady_time load_at;
};

/// Passes updates on to the shard's chooser, whose placement they index. Called
/// under the shard's lock.
void ApplyUpdates(pool_shard& shard,
                  const std::vector<endpoint_update>& updates);

/// The capacity of the pool's endpoints that this VM may use: what it uses
/// already and its part of what is free, so that capacity goes where the
/// demand is. Called under the shard's lock; `vms` counts the VMs that share.
admission_capacity CapacityShare(const pool_shard& shard, std::size_t vms);

/// Hands admissions and rejections to the waiting calls. Takes the shard's lock
/// for a short time and carries out without it.
void CarryOut(pool_shard& shard, const admission_actions& actions);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_SHARD_ACTIONS_H_
