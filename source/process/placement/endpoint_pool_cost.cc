#include <algorithm>
#include <cstddef>
#include <optional>

#include "process/placement/endpoint_pool.h"

// The estimated cost of sending a request to an endpoint.

namespace marjoramsill {

placement_choice endpoint_pool::EstimateCost(
    const candidate& each, const request_demand& demand,
    const shared_prefix& shared) const {
  const endpoint_estimate& endpoint = *each.endpoint;
  placement_choice choice;
  choice.endpoint = each.endpoint;
  choice.load = each.load;
  choice.cached = endpoint.prefixes().CachedTokens(demand.parts);
  // Other entry VMs send the session to the same preferred endpoint, so that
  // its cache has the shared prefix even if this entry VM never sent it there.
  if (&endpoint == shared.preferred && choice.cached < shared.tokens) {
    choice.cached = shared.tokens;
  }
  const auto cached = static_cast<double>(choice.cached.value());
  const double computed = static_cast<double>(demand.prompt.value()) - cached;
  const double recomputed =
      std::max(0.0, static_cast<double>(shared.tokens.value()) - cached);
  const double slots = endpoint.slots();
  const double queued = std::max(0.0, each.load - slots + 1);
  placement_cost& cost = choice.cost;
  cost.wait_ms = queued * duration_ms_.value() / slots;
  cost.compute_ms = computed / settings_.prefill_tokens_per_ms;
  cost.recompute_ms = settings_.recompute_cost_ms * recomputed;
  cost.running_ms = settings_.running_cost_ms * each.load;
  cost.failure_ms = settings_.failure_cost_ms * endpoint.failure_rate();
  if (endpoint.record().domain != settings_.domain) {
    cost.remote_ms = settings_.remote_cost_ms;
  }
  if (endpoint.record().phase == endpoint_phase::kSilent) {
    cost.silent_ms = settings_.silent_cost_ms;
  }
  return choice;
}

placement_choice endpoint_pool::FindCheapest(
    const request_demand& demand, const std::vector<candidate>& candidates,
    const shared_prefix& shared) const {
  std::optional<placement_choice> best;
  // A random start distributes requests among endpoints of equal cost.
  const std::size_t start = random_() % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const candidate& each = candidates[(start + i) % candidates.size()];
    const placement_choice choice = EstimateCost(each, demand, shared);
    if (!best || choice.cost.Total() < best->cost.Total()) best = choice;
  }
  return *best;
}

}  // namespace marjoramsill
