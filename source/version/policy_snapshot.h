#ifndef MARJORAMSILL_VERSION_POLICY_SNAPSHOT_H_
#define MARJORAMSILL_VERSION_POLICY_SNAPSHOT_H_

#include <cstddef>
#include <map>
#include <memory>

#include "types/ids.h"
#include "types/rank.h"
#include "version/endpoint_policy.h"
#include "version/pool_policy.h"
#include "version/rank_policy.h"
#include "version/workspace_policy.h"
#include "version/workspace_table.h"

namespace marjoramsill {

using pool_policies = std::map<model_id, pool_policy>;

/// Compiled form of one version of the policy document. Immutable; shared
/// through `std::shared_ptr<const policy_snapshot>` and replaced as a unit.
/// Lookups do not allocate. Built by `snapshot_builder`.
class policy_snapshot {
 public:
  document_version version() const { return version_; }

  const rank_policy& Rank(rank value) const {
    return ranks_[static_cast<std::size_t>(value)];
  }

  /// Null when the workspace is unknown. While `workspaces_complete()` is
  /// false, the workspace may exist but not be loaded yet; the version follower
  /// can fetch it.
  const workspace_policy* FindWorkspace(const workspace_id& id) const {
    return workspaces_.Find(id.value());
  }
  bool workspaces_complete() const { return workspaces_complete_; }
  const workspace_table& workspaces() const { return workspaces_; }

  /// Null when the policy has no such model or service.
  const pool_policy* FindPool(const model_id& id) const;
  const pool_policies& pools() const { return *pools_; }

  /// Null when the policy has no entry for the endpoint.
  const endpoint_policy* FindEndpoint(const endpoint_id& id) const;
  const endpoint_policies& endpoints() const { return *endpoints_; }

 private:
  friend class snapshot_builder;

  document_version version_;
  bool workspaces_complete_ = true;
  rank_policies ranks_;
  workspace_table workspaces_;
  std::shared_ptr<const pool_policies> pools_ =
      std::make_shared<const pool_policies>();
  std::shared_ptr<const endpoint_policies> endpoints_ =
      std::make_shared<const endpoint_policies>();
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_POLICY_SNAPSHOT_H_
