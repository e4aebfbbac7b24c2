#include "version/policy_snapshot.h"

namespace marjoramsill {

const pool_policy* policy_snapshot::FindPool(const model_id& id) const {
  const auto it = pools_->find(id);
  return it == pools_->end() ? nullptr : &it->second;
}

const endpoint_policy* policy_snapshot::FindEndpoint(
    const endpoint_id& id) const {
  const auto it = endpoints_->find(id);
  return it == endpoints_->end() ? nullptr : &it->second;
}

}  // namespace marjoramsill
