#ifndef MARJORAMSILL_VERSION_ROUTING_ENGINE_SPEC_H_
#define MARJORAMSILL_VERSION_ROUTING_ENGINE_SPEC_H_

#include <cstdint>

#include "types/units.h"

namespace marjoramsill {

/// Properties of the model engines of a pool, from the routing document.
struct engine_spec {
  /// Maximum number of concurrent requests on an endpoint.
  std::uint32_t slots = 0;
  /// Capacity of an endpoint for running requests and cached prefixes, in
  /// tokens.
  token_count cache_capacity;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ENGINE_SPEC_H_
