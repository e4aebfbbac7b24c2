#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SIMULATION_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "engine_pool.h"
#include "routing_policy.h"

namespace marjoramsill {

struct choice_scenario {
  std::size_t endpoints = 9;
  std::size_t domains = 3;
  std::size_t routers = 6;
  double utilisation = 0.7;
  double zipf = 0.9;
  std::size_t chats_per_endpoint = 600;
  double churn = 0.1;
  double warm_up_seconds = 240;
  double seconds = 360;
  /// Share of requests that enter through another failure domain than the
  /// earlier ones of their chat.
  double strangers = 0;
  std::uint64_t seed = 1;
};

struct choice_figures {
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t reused_tokens = 0;
  /// Most load over the mean at a placement, both relative to capacity.
  double highest_over_mean = 0;
  /// Most requests above the bound at a placement; the bound is the share of
  /// 1.25 times the mean, rounded up.
  int most_over_bound = 0;
  std::uint64_t placements_over_bound = 0;
};

/// Runs one policy on all routers; "ideal" is one router that sees the true
/// caches and loads.
choice_figures RunChoice(const choice_scenario& scenario,
                         const std::string& policy);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SIMULATION_H_
