#include "process/daemon/disk_writer.h"

#include <iterator>
#include <utility>

namespace marjoramsill {

disk_writer::disk_writer(
    std::function<void(std::uint32_t, std::uint64_t)> on_synced,
    std::function<void(std::uint32_t, const storage_error&)> on_error)
    : on_synced_(std::move(on_synced)), on_error_(std::move(on_error)) {}

disk_writer::~disk_writer() { Stop(); }

void disk_writer::AddGroup(std::uint32_t group,
                           std::unique_ptr<log_store> store) {
  stores_[group] = std::move(store);
}

void disk_writer::Start() {
  thread_ = std::thread([this] { Run(); });
}

void disk_writer::Enqueue(std::uint32_t group,
                          std::vector<storage_writes> writes) {
  if (writes.empty()) return;
  {
    const std::lock_guard lock(mutex_);
    std::vector<storage_writes>& queued = waiting_[group];
    queued.insert(queued.end(), std::make_move_iterator(writes.begin()),
                  std::make_move_iterator(writes.end()));
  }
  changed_.notify_one();
}

void disk_writer::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void disk_writer::Run() {
  for (;;) {
    queue batch;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
      if (waiting_.empty()) return;
      batch.swap(waiting_);
    }
    for (const auto& [group, writes] : batch) Execute(group, writes);
  }
}

void disk_writer::Execute(std::uint32_t group,
                          const std::vector<storage_writes>& writes) {
  log_store& store = *stores_.at(group);
  for (const storage_writes& each : writes) {
    const auto written = store.Write(each);
    if (!written) {
      on_error_(group, written.assume_error());
      return;
    }
  }
  const auto synced = store.Sync();
  if (!synced) {
    on_error_(group, synced.assume_error());
    return;
  }
  on_synced_(group, writes.back().ticket);
}

}  // namespace marjoramsill
