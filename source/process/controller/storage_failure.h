#ifndef MARJORAMSILL_PROCESS_CONTROLLER_STORAGE_FAILURE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_STORAGE_FAILURE_H_

#include "process/daemon/start_error.h"
#include "process/replication/storage_error.h"

namespace marjoramsill {

start_error StartError(const storage_error& error);

/// Ends the process after a failed write or sync, since the state on the disk
/// is unknown from then on.
[[noreturn]] void ExitOnStorageError(const storage_error& error);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_STORAGE_FAILURE_H_
