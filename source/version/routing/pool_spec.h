#ifndef MARJORAMSILL_VERSION_ROUTING_POOL_SPEC_H_
#define MARJORAMSILL_VERSION_ROUTING_POOL_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "types/ids.h"
#include "version/routing/engine_spec.h"
#include "version/routing/warm_up_spec.h"

namespace marjoramsill {

/// A pool: endpoints that serve the same requests.
struct pool_spec {
  model_id id;
  std::string health_path;
  /// Maximum number of connections to an endpoint from all callers together.
  std::uint32_t max_connections = 0;
  /// Set for pools of model engines.
  std::optional<engine_spec> engine;
  /// Set for pools whose cold endpoints take fewer requests.
  std::optional<warm_up_spec> warm_up = std::nullopt;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_POOL_SPEC_H_
