#ifndef MARJORAMSILL_PROCESS_DIRECTORY_SOFTWARE_PRESENCE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_SOFTWARE_PRESENCE_H_

#include <chrono>

#include "process/directory/pool_progress.h"
#include "process/directory/stream_origin.h"

namespace marjoramsill {

/// An endpoint of a pool had this software, and has another one or none now.
struct software_presence {
  /// That of the empty id if nothing but the end of the endpoint was known, so
  /// that it may have been of any pool.
  pool_digest pool;
  software_digest software;
  /// Time since it was last known to have it.
  std::chrono::milliseconds age{0};

  friend bool operator==(const software_presence&,
                         const software_presence&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_SOFTWARE_PRESENCE_H_
