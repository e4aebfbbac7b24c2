#include "version/routing/routing_check.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "version/routing/routing_document.h"

namespace marjoramsill {
namespace {

std::optional<routing_error> CheckRoute(const route_rule& route,
                                        const std::set<model_id>& pools) {
  if (route.timeout.count() <= 0) {
    return routing_error{routing_error_kind::kNoTimeout, route.name};
  }
  std::uint64_t weight = 0;
  for (const route_target& target : route.targets) {
    if (pools.count(target.pool) == 0) {
      return routing_error{routing_error_kind::kUnknownPool, route.name};
    }
    weight += target.weight;
  }
  if (weight == 0) {
    return routing_error{routing_error_kind::kNoWeight, route.name};
  }
  return std::nullopt;
}

std::optional<routing_error> CheckRoutes(const routing_document& document) {
  std::set<model_id> pools;
  for (const pool_spec& pool : document.pools) pools.insert(pool.id);
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (const route_rule& route : document.routes) {
    if (!seen.emplace(route.host, route.path_prefix).second) {
      return routing_error{routing_error_kind::kDuplicateRoute, route.name};
    }
    if (auto error = CheckRoute(route, pools)) return error;
  }
  return std::nullopt;
}

std::optional<routing_error> CheckKeys(const routing_document& document) {
  std::set<std::string_view> seen;
  for (const workspace_spec& workspace : document.workspaces) {
    for (const std::string& key : workspace.keys) {
      if (!seen.insert(key).second) {
        return routing_error{routing_error_kind::kSharedKey,
                             workspace.id.value()};
      }
    }
  }
  return std::nullopt;
}

}  // namespace

const char* RoutingErrorText(routing_error_kind kind) {
  switch (kind) {
    case routing_error_kind::kMalformed:
      return "malformed";
    case routing_error_kind::kUnknownPool:
      return "unknown_pool";
    case routing_error_kind::kDuplicateRoute:
      return "duplicate_route";
    case routing_error_kind::kNoWeight:
      return "no_weight";
    case routing_error_kind::kNoTimeout:
      return "no_timeout";
    case routing_error_kind::kSharedKey:
      return "shared_key";
  }
  return "unknown";
}

std::optional<routing_error> CheckRouting(const routing_document& document) {
  if (auto error = CheckRoutes(document)) return error;
  return CheckKeys(document);
}

}  // namespace marjoramsill
