#ifndef MARJORAMSILL_PROCESS_REPLICATION_STORAGE_ERROR_H_
#define MARJORAMSILL_PROCESS_REPLICATION_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

namespace marjoramsill {

enum class storage_error_kind {
  kOpenFailed,
  kReadFailed,
  kWriteFailed,
  kDiskFull,
  kSyncFailed,
  /// A record other than the torn tail is damaged.
  kCorrupt,
  kUnknownVersion,
  /// Another process holds the data folder.
  kLocked,
  /// Logs exist, but the disk id is missing.
  kNoDiskId,
};

/// Every storage error is fatal to the member: it must stop, because what is
/// on the disk is no longer known.
struct storage_error {
  storage_error_kind kind = storage_error_kind::kOpenFailed;
  std::string file;
  std::uint64_t offset = 0;
  /// Cause, with the system's error text where there is one.
  std::string detail;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_STORAGE_ERROR_H_
