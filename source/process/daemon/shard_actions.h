#ifndef MARJORAMSILL_PROCESS_DAEMON_SHARD_ACTIONS_H_
#define MARJORAMSILL_PROCESS_DAEMON_SHARD_ACTIONS_H_

#include <cstddef>
#include <vector>

#include "process/admission/admission_types.h"

namespace marjoramsill {

struct endpoint_status;
struct pool_shard;

/// Passes what membership knows on to the shard's chooser. Called under the
/// shard's lock.
void ApplyConditions(pool_shard& shard,
                     const std::vector<endpoint_status>& endpoints);

/// The capacity of the pool's endpoints that this VM may use: what it uses
/// already and its part of what is free, so that capacity goes where the
/// demand is. Called under the shard's lock; `vms` counts the VMs that share.
admission_capacity CapacityShare(const pool_shard& shard, std::size_t vms);

/// Hands admissions and rejections to the waiting calls. Takes the shard's lock
/// for a short time and carries out without it.
void CarryOut(pool_shard& shard, const admission_actions& actions);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_SHARD_ACTIONS_H_
