#ifndef MARJORAMSILL_VERSION_SNAPSHOT_BUILDER_H_
#define MARJORAMSILL_VERSION_SNAPSHOT_BUILDER_H_

#include <map>
#include <memory>
#include <string_view>

#include "types/ids.h"
#include "types/result.h"
#include "version/policy_snapshot.h"
#include "version/section_error.h"

namespace marjoramsill {

/// Compiles sections into snapshots. Keeps the compiled state and the endpoint
/// roles of each section, so that a change compiles only one section.
class snapshot_builder {
 public:
  /// Compiles one section; empty bytes remove it. On an error the previous
  /// content of the section is kept.
  result<void, section_error> Apply(const section_name& name,
                                    std::string_view bytes);

  /// For tests of other modules that need a policy without YAML.
  void SetRank(rank value, const rank_policy& policy);
  void SetWorkspace(const workspace_id& id, const workspace_policy& policy);
  void SetPool(const model_id& id, const pool_policy& policy);
  void SetEndpoint(const endpoint_id& id, const endpoint_policy& policy);

  std::shared_ptr<const policy_snapshot> Build(document_version version,
                                               bool workspaces_complete) const;

 private:
  result<void, section_error> Remove(const section_name& section);
  void MergeEndpoints();

  policy_snapshot draft_;
  /// Endpoint roles by section, in name order. If several sections name an
  /// endpoint, the first one determines its role.
  std::map<section_name, endpoint_policies> endpoint_sections_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SNAPSHOT_BUILDER_H_
