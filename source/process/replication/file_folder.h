#ifndef MARJORAMSILL_PROCESS_REPLICATION_FILE_FOLDER_H_
#define MARJORAMSILL_PROCESS_REPLICATION_FILE_FOLDER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/replication/storage_error.h"
#include "types/result.h"

namespace marjoramsill {

/// The file operations that log_store needs, within one folder. Implemented by
/// posix_folder and by an in-memory disk in tests.
class file_folder {
 public:
  virtual ~file_folder() = default;

  virtual result<std::vector<std::string>, storage_error> List() = 0;
  virtual result<std::string, storage_error> Read(const std::string& name) = 0;
  /// Appends to the file; creates it if it is missing. Durable after Sync.
  virtual result<void, storage_error> Append(const std::string& name,
                                             std::string_view bytes) = 0;
  /// Makes the file's content, and its name in the folder, durable.
  virtual result<void, storage_error> Sync(const std::string& name) = 0;
  /// Truncates the file to `size` bytes and syncs it.
  virtual result<void, storage_error> Truncate(const std::string& name,
                                               std::uint64_t size) = 0;
  /// Replaces the file atomically; durable on return.
  virtual result<void, storage_error> Replace(const std::string& name,
                                              std::string_view bytes) = 0;
  virtual result<void, storage_error> Remove(const std::string& name) = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_FILE_FOLDER_H_
