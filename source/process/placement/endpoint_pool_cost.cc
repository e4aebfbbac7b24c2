#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <vector>

#include "process/placement/endpoint_pool.h"

// The estimated cost of sending a request to an endpoint.

namespace marjoramsill {
namespace {

/// Costs that differ by less count as equal where speed is estimated: about the
/// cost of one request more. All entry VMs receive the same report and would
/// otherwise choose the same endpoint.
constexpr double kNearlyEqualMs = 2;

}  // namespace

placement_choice endpoint_pool::EstimateCost(
    const candidate& each, const request_demand& demand,
    const shared_prefix& shared) const {
  const endpoint_estimate& endpoint = *each.endpoint;
  placement_choice choice;
  choice.endpoint = each.endpoint;
  choice.load = each.load;
  choice.duration_factor = each.duration_factor;
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
  const double wait_ms = queued * duration_ms_.value() / slots;
  const double compute_ms = computed / settings_.prefill_tokens_per_ms;
  const double running_ms = settings_.running_cost_ms * each.load;
  choice.usual_ms = wait_ms + compute_ms + running_ms;
  cost.wait_ms = each.duration_factor * wait_ms;
  cost.compute_ms = each.duration_factor * compute_ms;
  cost.recompute_ms = settings_.recompute_cost_ms * recomputed;
  cost.running_ms = each.duration_factor * running_ms;
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
  if (uses_speed_) return FindNearlyCheapest(demand, candidates, shared);
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

placement_choice endpoint_pool::FindNearlyCheapest(
    const request_demand& demand, const std::vector<candidate>& candidates,
    const shared_prefix& shared) const {
  std::vector<placement_choice> choices;
  choices.reserve(candidates.size());
  double least = std::numeric_limits<double>::max();
  for (const candidate& each : candidates) {
    choices.push_back(EstimateCost(each, demand, shared));
    least = std::min(least, choices.back().cost.Total());
  }
  std::erase_if(choices, [least](const placement_choice& each) {
    return each.cost.Total() > least + kNearlyEqualMs;
  });
  return choices[random_() % choices.size()];
}

}  // namespace marjoramsill
