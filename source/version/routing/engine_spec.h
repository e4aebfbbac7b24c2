#ifndef MARJORAMSILL_VERSION_ROUTING_ENGINE_SPEC_H_
#define MARJORAMSILL_VERSION_ROUTING_ENGINE_SPEC_H_

#include <cstdint>

#include "types/units.h"

namespace marjoramsill {

/// What a routing document says of the model engines of a pool.
struct engine_spec {
  /// Requests that run at once on an endpoint.
  std::uint32_t slots = 0;
  /// Memory for running requests and cached prefixes of an endpoint.
  token_count cache_capacity;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ENGINE_SPEC_H_
