#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SCENARIO_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SCENARIO_H_

#include <cstdint>

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

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SCENARIO_H_
