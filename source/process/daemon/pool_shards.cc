#include "process/daemon/pool_shards.h"

#include "process/daemon/steady_clock.h"
#include "version/policy_snapshot.h"

namespace marjoramsill {
namespace {

admission_policy AdmissionPolicyOf(const policy_snapshot& policy) {
  admission_policy admission;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    admission.ranks.at(i).share = policy.Rank(static_cast<rank>(i)).kept_share;
  }
  return admission;
}

}  // namespace

void pool_shards::Apply(const policy_snapshot& policy) {
  const admission_policy admission = AdmissionPolicyOf(policy);
  for (const auto& [id, pool] : policy.pools()) {
    std::shared_ptr<pool_shard> shard;
    {
      const std::lock_guard lock(mutex_);
      std::shared_ptr<pool_shard>& known = shards_[id];
      if (!known) {
        endpoint_chooser_settings choice;
        choice.own_domain = own_domain_;
        choice.load.load_multiple = pool.load_bound;
        known = std::make_shared<pool_shard>(admission, choice, SystemRandom());
      }
      shard = known;
    }
    const std::lock_guard lock(shard->mutex);
    shard->admission.SetPolicy(admission);
    shard->chooser.SetLoadMultiple(pool.load_bound);
    shard->budget.SetRatio(pool.retry_budget);
  }
}

std::shared_ptr<pool_shard> pool_shards::Find(const model_id& pool) const {
  const std::lock_guard lock(mutex_);
  const auto found = shards_.find(pool);
  return found == shards_.end() ? nullptr : found->second;
}

std::vector<pool_shards::named_shard> pool_shards::All() const {
  const std::lock_guard lock(mutex_);
  return {shards_.begin(), shards_.end()};
}

}  // namespace marjoramsill
