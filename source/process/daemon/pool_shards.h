#ifndef MARJORAMSILL_PROCESS_DAEMON_POOL_SHARDS_H_
#define MARJORAMSILL_PROCESS_DAEMON_POOL_SHARDS_H_

#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "process/daemon/pool_shard.h"
#include "types/ids.h"

namespace marjoramsill {

class policy_snapshot;

/// The shards of all pools of the policy.
class pool_shards {
 public:
  using named_shard = std::pair<model_id, std::shared_ptr<pool_shard>>;

  explicit pool_shards(failure_domain_id own_domain)
      : own_domain_(std::move(own_domain)) {}

  /// Creates the shards of new pools and passes the policy to all shards.
  void Apply(const policy_snapshot& policy);
  /// Returns null if no policy version has named the pool.
  std::shared_ptr<pool_shard> Find(const model_id& pool) const;
  std::vector<named_shard> All() const;

 private:
  const failure_domain_id own_domain_;
  mutable std::mutex mutex_;
  std::unordered_map<model_id, std::shared_ptr<pool_shard>> shards_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_POOL_SHARDS_H_
