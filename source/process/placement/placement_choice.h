#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_CHOICE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_CHOICE_H_

#include <cstddef>
#include <string>

#include "process/placement/placement_cost.h"
#include "types/units.h"

namespace marjoramsill {

class endpoint_estimate;

/// The endpoint chosen for a request, with the figures behind the choice.
struct placement_choice {
  endpoint_estimate* endpoint = nullptr;
  /// Number of endpoints that could have been chosen.
  std::size_t candidates = 0;
  placement_cost cost;
  /// Estimated requests that run or wait on the endpoint.
  double load = 0;
  /// Mean of that over all endpoints of the pool that serve.
  double pool_mean = 0;
  /// Endpoints that serve, but could not be chosen for this request.
  std::size_t left_out = 0;
  /// The load exceeds the bound of the whole pool.
  bool is_over_bound = false;
  /// The endpoint is cold, and its pool has a limit for cold endpoints.
  bool is_cold = false;
  /// Age of the endpoint's latest load report; negative without one.
  double load_age_ms = -1;
  /// Estimated duration of work relative to the pool; 1 if not estimated.
  double duration_factor = 1;
  /// The part of the cost that is work of the endpoint, at the usual speed.
  double usual_ms = 0;
  /// Prompt tokens that the endpoint is expected to have cached.
  token_count cached;
  /// IP:PORT of another endpoint that probably has more of the prompt in its
  /// cache; empty if none is known.
  std::string fetch_from;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_CHOICE_H_
