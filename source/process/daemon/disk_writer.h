#ifndef MARJORAMSILL_PROCESS_DAEMON_DISK_WRITER_H_
#define MARJORAMSILL_PROCESS_DAEMON_DISK_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "process/replication/log_store.h"
#include "process/replication/storage_error.h"
#include "process/replication/storage_writes.h"

namespace marjoramsill {

/// Executes the storage writes of all groups of this VM on one thread. All
/// queued writes of one group share a sync.
class disk_writer {
 public:
  /// `on_synced` and `on_error` run on the disk thread. After an error the
  /// store of the group takes only a write that replaces all, because the state
  /// of its files is unknown.
  disk_writer(
      std::function<void(std::uint32_t group, std::uint64_t ticket)> on_synced,
      std::function<void(std::uint32_t group, const storage_error&)> on_error);
  ~disk_writer();
  disk_writer(const disk_writer&) = delete;
  disk_writer& operator=(const disk_writer&) = delete;

  /// Must be called before Start().
  void AddGroup(std::uint32_t group, std::unique_ptr<log_store> store);
  void Start();
  /// Writes of one group are executed in the order of the calls.
  void Enqueue(std::uint32_t group, std::vector<storage_writes> writes);
  /// Ends the thread after the queued writes.
  void Stop();

 private:
  using queue = std::map<std::uint32_t, std::vector<storage_writes>>;

  void Run();
  void Execute(std::uint32_t group, const std::vector<storage_writes>& writes);

  const std::function<void(std::uint32_t, std::uint64_t)> on_synced_;
  const std::function<void(std::uint32_t, const storage_error&)> on_error_;
  std::map<std::uint32_t, std::unique_ptr<log_store>> stores_;
  std::mutex mutex_;
  std::condition_variable changed_;
  queue waiting_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_DISK_WRITER_H_
