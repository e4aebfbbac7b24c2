#include "process/daemon/shard_actions.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "process/daemon/call_executor.h"
#include "process/daemon/pool_shard.h"

namespace marjoramsill {
namespace {

// Assumed mean cost until the first call has ended.
constexpr double kInitialMeanCost = 500;

}  // namespace

void ApplyUpdates(pool_shard& shard,
                  const std::vector<endpoint_update>& updates) {
  for (const endpoint_update& update : updates) {
    shard.chooser.SetCondition(update.index, update.condition);
    shard.chooser.OnReport(update.index, update.load, update.load_at);
  }
}

admission_capacity CapacityShare(const pool_shard& shard, std::size_t vms) {
  const placement& table = shard.chooser.table();
  double free = 0;
  for (endpoint_index i = 0; i < table.endpoints().size(); ++i) {
    const std::uint32_t capacity = table.endpoints()[i].capacity;
    const std::uint32_t load = shard.chooser.loads().Estimate(i);
    free += capacity > load ? capacity - load : 0;
  }
  const double even =
      static_cast<double>(table.total_capacity()) / static_cast<double>(vms);
  const double share = std::max(
      even, shard.admission.running() + free / static_cast<double>(vms));
  const double mean = shard.mean_cost > 0 ? shard.mean_cost : kInitialMeanCost;
  admission_capacity capacity;
  capacity.concurrency = static_cast<std::uint32_t>(std::ceil(share));
  capacity.cost = cost_units(
      static_cast<std::uint64_t>(std::ceil(capacity.concurrency * mean)));
  return capacity;
}

void NotifyCalls(pool_shard& shard, const admission_actions& actions) {
  for (const admission_action& action : actions) {
    std::shared_ptr<call_executor> call;
    {
      const std::lock_guard lock(shard.mutex);
      const auto found = shard.waiting.find(action.request);
      if (found == shard.waiting.end()) continue;
      call = std::move(found->second);
      shard.waiting.erase(found);
    }
    if (action.kind == admission_action_kind::kAdmit) {
      call->OnAdmitted();
    } else {
      call->OnRejected(action.rejection);
    }
  }
}

}  // namespace marjoramsill
