#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTING_ERROR_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTING_ERROR_H_

#include <string>

namespace marjoramsill {

enum class routing_error_kind {
  /// The document cannot be read in full.
  kMalformed,
  kUnknownPool,
  /// Two routes have the same host and path prefix.
  kDuplicateRoute,
  /// The weights of a route add up to 0.
  kNoWeight,
  kNoTimeout,
  /// Two workspaces share a key.
  kSharedKey,
};

/// Why a routing document is refused.
struct routing_error {
  routing_error_kind kind = routing_error_kind::kMalformed;
  /// The field, route or workspace at fault.
  std::string where;
};

const char* RoutingErrorText(routing_error_kind kind);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTING_ERROR_H_
