#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATED_REQUEST_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATED_REQUEST_H_

#include <cstdint>

#include "types/rank.h"

namespace marjoramsill {

/// Times in seconds.
struct simulated_request {
  marjoramsill::rank rank;
  std::uint64_t workspace;
  double arrival;
  double cost;
  double wait = 0;
  double first_token = 0;
  /// Time at which the request was rejected or, if it ran, completed.
  double end = 0;
  bool admitted = false;
  /// Completed before the deadline, with its first token within the rank's
  /// target.
  bool good = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATED_REQUEST_H_
