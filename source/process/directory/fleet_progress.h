#ifndef MARJORAMSILL_PROCESS_DIRECTORY_FLEET_PROGRESS_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_FLEET_PROGRESS_H_

#include <cstdint>
#include <vector>

#include "process/directory/pool_progress.h"

namespace marjoramsill {

/// What a number of entry VMs have in progress together.
struct fleet_progress {
  /// Entry VMs that are counted; 0 if nothing is known.
  std::uint32_t entry_count = 0;
  /// Each pool once, without those that have nothing in progress.
  std::vector<pool_progress> pools;

  friend bool operator==(const fleet_progress&,
                         const fleet_progress&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_FLEET_PROGRESS_H_
