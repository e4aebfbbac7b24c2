#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_FIGURES_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_FIGURES_H_

#include <cstdint>

namespace marjoramsill {

/// Results of one simulation run, without the warm-up.
struct choice_figures {
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t reused_tokens = 0;
  /// Maximum ratio, over all placements, of the chosen endpoint's load to the
  /// mean load, both relative to capacity.
  double max_over_mean = 0;
  /// Maximum number of requests above the load bound at a placement. The bound
  /// is 1.25 times the endpoint's share of the total load, rounded up.
  int most_over_bound = 0;
  std::uint64_t placements_over_bound = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_FIGURES_H_
