#ifndef MARJORAMSILL_PROCESS_DIRECTORY_RECORD_TRANSFER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_RECORD_TRANSFER_H_

#include <cstdint>

namespace marjoramsill {

/// Which endpoint records a watcher requests from a control member. The numbers
/// are sent to other processes.
enum class record_transfer : std::uint8_t {
  /// The changes after the last applied one; all records if there is none. For
  /// control members, and for watchers of earlier builds.
  kAll = 0,
  /// The changes after the last applied one; nothing if there is none.
  kChanges = 1,
  /// Nothing: the watcher gets its records from another member first.
  kNone = 2,
  /// Endpoints that have not ended, for a watcher that knows none.
  kPresent = 3,
  /// What differs from the digests in the request.
  kDifferences = 4,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_RECORD_TRANSFER_H_
