#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_

#include <chrono>

#include "types/ids.h"

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
  /// Share of a session's prompt that its first choice is assumed to keep,
  /// because other entry VMs make the same choice.
  double home_cached_share = 0.8;
  /// No endpoint gets more than this multiple of the mean load of its pool,
  /// plus `load_allowance` requests.
  double load_cap = 1.6;
  double load_allowance = 2;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_SETTINGS_H_
