#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_LOAD_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_LOAD_H_

#include <cstdint>

#include "types/rank.h"

namespace marjoramsill {

/// Poisson arrivals over all entry VMs.
struct load {
  marjoramsill::rank rank;
  /// Workspaces first to first + count - 1, with equal parts.
  std::uint64_t first_workspace;
  std::uint64_t count;
  /// Offered cost as a multiple of the capacity.
  double part;
  double from_s;
  double to_s;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_LOAD_H_
