#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_

#include <chrono>

#include "types/ids.h"
#include "types/units.h"

namespace marjoramsill {

/// What the choice of an endpoint weighs. Costs are in milliseconds of delay.
struct placement_settings {
  /// Own failure domain: its endpoints cost no traffic between domains.
  failure_domain_id domain;
  double remote_cost_ms = 25;
  /// Endpoint without recent heartbeats.
  double silent_cost_ms = 400;
  /// An endpoint that fails every call.
  double failure_cost_ms = 1'000;
  /// One more running request slows all others on an engine.
  double running_cost_ms = 1.5;
  /// Prompt tokens that an engine computes in a millisecond.
  double prefill_tokens_per_ms = 100;
  /// A token of a shared part that another endpoint keeps already. Computing
  /// it again delays all requests of the engine and displaces other prefixes.
  double reread_cost_ms = 0.05;
  /// Prefixes below this size are computed again rather than copied.
  token_count min_fetch = token_count(256);
  /// No endpoint gets more than this multiple of the mean load of its pool,
  /// plus `load_allowance` requests.
  double load_cap = 1.5;
  double load_allowance = 1.5;
  /// Load at which a prefix's requests go to its other home, as a multiple of
  /// the mean load, plus `load_allowance`.
  double home_load_cap = 2;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_
