#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SCENARIO_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SCENARIO_H_

#include <cstdint>

namespace marjoramsill {

/// Parameters of one simulation run.
struct choice_scenario {
  std::size_t endpoints = 9;
  std::size_t domains = 3;
  std::size_t routers = 6;
  double utilisation = 0.7;
  /// Exponent of the popularity of chats.
  double zipf = 0.9;
  std::size_t chats_per_endpoint = 600;
  /// Fraction of the endpoints that restart in each churn period.
  double churn = 0.1;
  double warm_up_seconds = 240;
  double seconds = 360;
  /// Fraction of the requests that enter through a different failure domain
  /// than the earlier requests of their chat.
  double cross_domain_fraction = 0;
  std::uint64_t seed = 1;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SCENARIO_H_
