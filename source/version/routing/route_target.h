#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTE_TARGET_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTE_TARGET_H_

#include <cstdint>

#include "types/ids.h"

namespace marjoramsill {

/// A pool that serves a share of a route's requests.
struct route_target {
  model_id pool;
  /// Relative to the other targets of the route.
  std::uint32_t weight = 1;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTE_TARGET_H_
