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
  /// Stored data is damaged, other than by a torn write at the end of the log.
  kCorrupt,
  kUnknownVersion,
  /// Another process has locked the data folder.
  kLocked,
  /// Group folders exist, but the disk id is missing.
  kNoDiskId,
};

/// Every storage error is fatal to the member: it must stop, because the
/// content of the disk is unknown afterwards.
struct storage_error {
  storage_error_kind kind = storage_error_kind::kOpenFailed;
  std::string file;
  std::uint64_t offset = 0;
  /// Cause, or the error text of the system.
  std::string detail;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_STORAGE_ERROR_H_
