#ifndef MARJORAMSILL_PROCESS_REPLICATION_DATA_FOLDER_H_
#define MARJORAMSILL_PROCESS_REPLICATION_DATA_FOLDER_H_

#include <memory>
#include <string>

#include "process/replication/member.h"
#include "process/replication/posix_folder.h"
#include "types/random_source.h"

namespace marjoramsill {

/// The data folder of a process with replicated groups: a lock file, the disk
/// id and one folder per group. The lock is held until destruction.
class data_folder {
 public:
  /// Creates the folder if it is missing and locks it. Writes the disk id at
  /// the first start. Fails if group folders exist without a disk id.
  static result<std::unique_ptr<data_folder>, storage_error> Open(
      const std::string& path, const random_source& random);
  ~data_folder();
  data_folder(const data_folder&) = delete;
  data_folder& operator=(const data_folder&) = delete;

  disk_id disk() const { return disk_; }
  /// Creates the group's folder if it is missing.
  result<std::unique_ptr<posix_folder>, storage_error> OpenGroup(
      const std::string& group);

 private:
  data_folder(std::string path, int lock);
  result<void, storage_error> LoadDiskId(const random_source& random);

  const std::string path_;
  const int lock_;
  disk_id disk_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_DATA_FOLDER_H_
