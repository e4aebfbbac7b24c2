#ifndef MARJORAMSILL_VERSION_ENDPOINT_POLICY_H_
#define MARJORAMSILL_VERSION_ENDPOINT_POLICY_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// The use of an endpoint. Orders to engines are derived from it.
enum class endpoint_role { kMixed, kPrefill, kDecode, kStandby };

std::string_view EndpointRoleName(endpoint_role role);
std::optional<endpoint_role> ParseEndpointRole(std::string_view text);

struct endpoint_policy {
  endpoint_role role = endpoint_role::kMixed;
  /// Models or services that the endpoint should serve.
  std::vector<model_id> serves;

  friend bool operator==(const endpoint_policy&,
                         const endpoint_policy&) = default;
};

using endpoint_policies = std::map<endpoint_id, endpoint_policy>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ENDPOINT_POLICY_H_
