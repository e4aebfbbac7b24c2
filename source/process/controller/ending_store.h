#ifndef MARJORAMSILL_PROCESS_CONTROLLER_ENDING_STORE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_ENDING_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "process/daemon/disk_writer.h"
#include "process/daemon/start_error.h"
#include "process/directory/endpoint_record.h"
#include "process/replication/posix_folder.h"
#include "process/replication/storage_error.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"

namespace marjoramsill {

class data_folder;
class log_store;

/// The endpoints that leave or have ended, on the disk of a control process.
/// Without it a restart of all control processes would forget them, and a late
/// heartbeat would bring one back. Used on the thread of the process; writes
/// are made on a thread of their own. After an error, of a full disk for
/// example, nothing is durable until all current records could be written anew.
class ending_store {
 public:
  struct hooks {
    /// Runs a task on the thread of the process; called from any thread.
    std::function<void(std::function<void()>)> post;
    /// Returns the records that must still be known. Older ones are removed
    /// from the disk.
    std::function<std::vector<endpoint_record>()> current;
  };

  static result<std::unique_ptr<ending_store>, start_error> Open(
      data_folder& folder, hooks callbacks);
  ~ending_store();
  ending_store(const ending_store&) = delete;
  ending_store& operator=(const ending_store&) = delete;

  /// Records that were on the disk at the start.
  const std::vector<endpoint_record>& stored() const { return stored_; }
  /// Starts to write the record of an endpoint that leaves or has ended.
  void Record(const endpoint_record& record);
  /// Calls `done` once all records so far are durable, or the disk has failed.
  void WhenDurable(std::function<void()> done);
  /// Tries to write all current records again after an error. Call regularly.
  void Tick(steady_time now);

 private:
  explicit ending_store(hooks callbacks);
  result<void, start_error> OpenLog(data_folder& folder);
  void OnSynced(std::uint64_t ticket);
  void OnFailed(const storage_error& error);
  void WriteAnew();
  /// Runs a task on the thread of the process while this object exists.
  void Post(std::function<void()> task);

  const hooks hooks_;
  std::vector<endpoint_record> stored_;
  std::unique_ptr<posix_folder> folder_;
  log_index last_;
  log_index snapshot_;
  std::uint64_t synced_ticket_ = 0;
  bool has_failed_ = false;
  std::optional<steady_time> retry_at_;
  /// Ticket of the last write that replaces all, until it is durable.
  std::uint64_t anew_ticket_ = 0;
  std::deque<std::pair<std::uint64_t, std::function<void()>>> waiting_;
  /// Lets a task that was posted before the end of this object do nothing.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  disk_writer disk_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_ENDING_STORE_H_
