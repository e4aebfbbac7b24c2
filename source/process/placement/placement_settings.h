#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_

#include <chrono>

#include "process/placement/warm_up_bound.h"
#include "types/ids.h"
#include "types/units.h"

namespace marjoramsill {

/// Weights for the choice of an endpoint. Costs are in milliseconds of delay.
struct placement_settings {
  /// Failure domain of this entry VM.
  failure_domain_id domain;
  /// An endpoint in another failure domain.
  double remote_cost_ms = 25;
  /// An endpoint without recent heartbeats.
  double silent_cost_ms = 400;
  /// An endpoint that fails every call; scaled by its failure rate.
  double failure_cost_ms = 1'000;
  /// Each request on the endpoint, since one more running request slows down
  /// all others on an engine.
  double running_cost_ms = 1.5;
  /// Prompt tokens that an engine computes in one millisecond.
  double prefill_tokens_per_ms = 100;
  /// Each token of a shared prefix that the endpoint has to compute although
  /// another one has it cached. This delays all requests of the engine and
  /// evicts other prefixes.
  double recompute_cost_ms = 0.05;
  /// Shorter prefixes are computed again rather than copied from another
  /// endpoint's cache.
  token_count min_fetch = token_count(256);
  /// Endpoints above this multiple of the mean load of their pool, plus
  /// `load_allowance` requests, are not chosen.
  double load_cap = 1.5;
  /// Requests added to both load bounds, so that they leave some slack in an
  /// almost idle pool.
  double load_allowance = 1.5;
  /// No endpoint should hold more than this multiple of the mean load of its
  /// whole pool, plus `bound_allowance` requests, when a request arrives.
  double bound_factor = 2;
  double bound_allowance = 3;
  /// Load bound of a preferred endpoint, as a multiple of the mean load, plus
  /// `load_allowance`. Close to it, the requests for a prefix go to the other
  /// preferred endpoint.
  double preferred_load_cap = 2;
  /// For pools whose cold endpoints take fewer requests.
  warm_up_bound warm_up;
  /// Speed is estimated in pools whose endpoints state no duration of work too.
  bool learn_endpoint_speed = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_
