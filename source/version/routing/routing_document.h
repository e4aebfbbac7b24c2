#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTING_DOCUMENT_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTING_DOCUMENT_H_

#include <vector>

#include "types/ids.h"
#include "version/routing/caller_limits.h"
#include "version/routing/pool_spec.h"
#include "version/routing/route_rule.h"
#include "version/routing/workspace_spec.h"

namespace marjoramsill {

/// The decoded routing document. The operator chooses its version.
struct routing_document {
  document_version version;
  std::vector<route_rule> routes;
  std::vector<pool_spec> pools;
  std::vector<workspace_spec> workspaces;
  /// True if requests on routes that are not public need a key.
  bool requires_keys = false;
  caller_limits limits;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTING_DOCUMENT_H_
