#ifndef MARJORAMSILL_PROCESS_ADMISSION_RANK_ADMISSION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_RANK_ADMISSION_H_

#include <cstddef>

namespace marjoramsill {

struct rank_admission {
  /// Part of the admitted cost, 0 to 1, that the rank keeps while it has work
  /// waiting. Ignored for urgent, which takes what the others do not keep.
  double share = 0;
  std::size_t max_queued_per_workspace = 256;
  /// Bound of the rank's queue over all workspaces.
  std::size_t max_queued = 65536;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_RANK_ADMISSION_H_
