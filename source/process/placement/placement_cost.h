#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_COST_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_COST_H_

namespace marjoramsill {

/// Estimated cost of sending a request to an endpoint, in milliseconds of
/// delay, by cause.
struct placement_cost {
  /// Until the endpoint has a free slot.
  double wait_ms = 0;
  /// Computing the part of the prompt that is not cached.
  double compute_ms = 0;
  /// Effect on other requests of computing shared tokens again.
  double recompute_ms = 0;
  /// Slowdown by the requests that already run.
  double running_ms = 0;
  /// Recent failures of the endpoint.
  double failure_ms = 0;
  /// The endpoint is in another failure domain.
  double remote_ms = 0;
  /// The endpoint's heartbeats are missing.
  double silent_ms = 0;

  double Total() const {
    return wait_ms + compute_ms + recompute_ms + running_ms + failure_ms +
           remote_ms + silent_ms;
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_COST_H_
