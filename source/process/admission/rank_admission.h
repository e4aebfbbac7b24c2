#ifndef MARJORAMSILL_PROCESS_ADMISSION_RANK_ADMISSION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_RANK_ADMISSION_H_

#include <cstddef>

namespace marjoramsill {

/// Admission policy of one rank.
struct rank_admission {
  /// Guaranteed fraction, 0 to 1, of the admitted cost while the rank has
  /// queued requests. Ignored for urgent, which gets what the other ranks'
  /// guaranteed shares leave.
  double share = 0;
  std::size_t max_queued_per_workspace = 256;
  /// Bound of the rank's queue, summed over all workspaces.
  std::size_t max_queued = 65536;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_RANK_ADMISSION_H_
