#ifndef MARJORAMSILL_PROCESS_PLACEMENT_FULL_POOL_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_FULL_POOL_H_

#include <cstddef>
#include <cstdint>

namespace marjoramsill {

/// Why a pool takes no further request although some of its endpoints could:
/// these hold what the load bound allows.
struct full_pool {
  /// Mean load of all endpoints that serve.
  double pool_mean = 0;
  /// Most requests that an endpoint may hold when another one arrives.
  double bound = 0;
  /// Least load of an endpoint that could be chosen.
  double least_load = 0;
  std::size_t candidates = 0;
  /// Endpoints that serve, but could not be chosen for this request.
  std::size_t left_out = 0;
  /// Requests that this VM may have in progress at those that could be chosen.
  std::uint32_t own_places = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_FULL_POOL_H_
