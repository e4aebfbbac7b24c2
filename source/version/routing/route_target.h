#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTE_TARGET_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTE_TARGET_H_

#include <cstdint>

#include "types/ids.h"

namespace marjoramsill {

/// A pool that serves a share of the requests of a route.
struct route_target {
  model_id pool;
  /// Weight relative to the other targets of the route.
  std::uint32_t weight = 1;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTE_TARGET_H_
