#ifndef MARJORAMSILL_PROCESS_REPLICATION_POSIX_FOLDER_H_
#define MARJORAMSILL_PROCESS_REPLICATION_POSIX_FOLDER_H_

#include <map>
#include <string>
#include <vector>

#include "process/replication/file_folder.h"

namespace marjoramsill {

/// A folder of the file system. Files opened for appending stay open until they
/// are removed or this object is destroyed.
class posix_folder : public file_folder {
 public:
  explicit posix_folder(std::string path) : path_(std::move(path)) {}
  ~posix_folder() override;
  posix_folder(const posix_folder&) = delete;
  posix_folder& operator=(const posix_folder&) = delete;

  /// Creates the folder if it is missing and syncs its parent.
  result<void, storage_error> Create();

  result<std::vector<std::string>, storage_error> List() override;
  result<std::string, storage_error> Read(const std::string& name) override;
  result<void, storage_error> Append(const std::string& name,
                                     std::string_view bytes) override;
  result<void, storage_error> Sync(const std::string& name) override;
  result<void, storage_error> Truncate(const std::string& name,
                                       std::uint64_t size) override;
  result<void, storage_error> Replace(const std::string& name,
                                      std::string_view bytes) override;
  result<void, storage_error> Remove(const std::string& name) override;

 private:
  struct open_file {
    int descriptor = -1;
    bool name_synced = false;
  };
  storage_error Error(storage_error_kind kind, const std::string& name) const;
  result<open_file*, storage_error> OpenForAppend(const std::string& name);
  result<void, storage_error> WriteAll(int descriptor, const std::string& name,
                                       std::string_view bytes);
  result<void, storage_error> SyncFolder();

  const std::string path_;
  std::map<std::string, open_file> files_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_POSIX_FOLDER_H_
