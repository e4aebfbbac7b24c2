#ifndef MARJORAMSILL_TESTS_REPLICATION_MEMORY_DISK_H_
#define MARJORAMSILL_TESTS_REPLICATION_MEMORY_DISK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/replication/file_folder.h"
#include "types/random_source.h"

namespace marjoramsill {

/// A folder in memory that distinguishes written from synced bytes.
class memory_disk : public file_folder {
 public:
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

  /// Keeps each write since the last sync of its file, loses it or tears it,
  /// independently of the others; at times all are lost. A file whose name was
  /// never synced may be gone.
  void LosePower(const random_source& random);
  void FailNextSync() { fail_sync_ = true; }
  /// From now on writes take this many bytes altogether, and then fail;
  /// nothing: there is room again. Of the write that exceeds it a part is kept.
  void SetRoom(std::optional<std::size_t> bytes) { room_ = bytes; }

  std::map<std::string, std::string>& files() { return files_; }
  int syncs() const { return syncs_; }

 private:
  /// Takes what there is room for; fails if that is not all.
  result<void, storage_error> TakeRoom(const std::string& name,
                                       std::string_view& bytes);

  std::map<std::string, std::string> files_;
  /// Starts of the writes since the last sync of a file.
  std::map<std::string, std::vector<std::size_t>> unsynced_;
  std::set<std::string> synced_names_;
  bool fail_sync_ = false;
  std::optional<std::size_t> room_;
  int syncs_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_REPLICATION_MEMORY_DISK_H_
