#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_FIGURES_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_FIGURES_H_

#include <cstdint>

namespace marjoramsill {

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

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_FIGURES_H_
