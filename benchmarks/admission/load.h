#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_LOAD_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_LOAD_H_

#include <cstdint>

#include "types/rank.h"

namespace marjoramsill {

/// Poisson arrivals over all entry VMs.
struct load {
  marjoramsill::rank rank;
  /// Workspaces first_workspace to first_workspace + count - 1, with equal
  /// loads.
  std::uint64_t first_workspace;
  std::uint64_t count;
  /// Offered cost as a multiple of the capacity.
  double fraction;
  double start_s;
  double end_s;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_LOAD_H_
