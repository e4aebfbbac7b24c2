#ifndef MARJORAMSILL_VERSION_ROUTING_WORKSPACE_SPEC_H_
#define MARJORAMSILL_VERSION_ROUTING_WORKSPACE_SPEC_H_

#include <optional>
#include <string>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// A workspace and the keys that select it.
struct workspace_spec {
  workspace_id id;
  std::vector<std::string> keys;
  /// Overrides the rank of the route. 0 is the most urgent.
  std::optional<int> rank;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_WORKSPACE_SPEC_H_
