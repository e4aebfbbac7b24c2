#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTING_ERROR_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTING_ERROR_H_

#include <string>

namespace marjoramsill {

enum class routing_error_kind {
  /// The document cannot be decoded.
  kMalformed,
  kUnknownPool,
  /// Two routes have the same host and path prefix.
  kDuplicateRoute,
  /// The sum of the weights of a route is 0.
  kNoWeight,
  kNoTimeout,
  /// Two workspaces share a key.
  kSharedKey,
};

/// Why a routing document was refused.
struct routing_error {
  routing_error_kind kind = routing_error_kind::kMalformed;
  /// The invalid field, route or workspace.
  std::string where;
};

const char* RoutingErrorText(routing_error_kind kind);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTING_ERROR_H_
