#include "process/controller/ending_store.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

#include "process/controller/storage_failure.h"
#include "process/daemon/event_log.h"
#include "process/directory/watch_codec.h"
#include "process/replication/data_folder.h"
#include "process/replication/log_store.h"

namespace marjoramsill {
namespace {

constexpr std::uint32_t kLogNumber = 0;
constexpr const char* kLogName = "endings";
constexpr std::size_t kSegmentBytes = std::size_t{64} * 1024;
/// Entries after which a snapshot replaces them.
constexpr std::uint64_t kCompactionEntries = 128;
/// Time from an error of the disk to the next try.
constexpr std::chrono::seconds kRetryInterval{1};
/// The log has a single writer.
constexpr log_term kTerm{1};

void Append(std::vector<endpoint_record>& records, std::string_view bytes) {
  auto decoded = DecodeEndpointRecords(bytes);
  if (!decoded) {
    LogEvent(log_level::kWarning, "stored_ending_unreadable");
    return;
  }
  records.insert(records.end(), decoded->begin(), decoded->end());
}

snapshot Snapshot(log_index index,
                  const std::vector<endpoint_record>& records) {
  snapshot taken;
  taken.index = index;
  taken.term = kTerm;
  taken.data =
      std::make_shared<const std::string>(EncodeEndpointRecords(records));
  return taken;
}

}  // namespace

result<std::unique_ptr<ending_store>, start_error> ending_store::Open(
    data_folder& folder, hooks callbacks) {
  std::unique_ptr<ending_store> store(new ending_store(std::move(callbacks)));
  auto opened = store->OpenLog(folder);
  if (!opened) return failure(std::move(opened).assume_error());
  store->disk_.Start();
  return store;
}

ending_store::ending_store(hooks callbacks)
    : hooks_(std::move(callbacks)),
      disk_(
          [this](std::uint32_t /*log*/, std::uint64_t ticket) {
            Post([this, ticket] { OnSynced(ticket); });
          },
          [this](std::uint32_t /*log*/, const storage_error& error) {
            Post([this, error] { OnFailed(error); });
          }) {}

void ending_store::Post(std::function<void()> task) {
  hooks_.post([alive = std::weak_ptr<bool>(is_alive_), task = std::move(task)] {
    if (!alive.expired()) task();
  });
}

ending_store::~ending_store() { disk_.Stop(); }

result<void, start_error> ending_store::OpenLog(data_folder& folder) {
  auto opened_folder = folder.OpenGroup(kLogName);
  if (!opened_folder) return failure(StartError(opened_folder.assume_error()));
  folder_ = std::move(opened_folder).assume_value();
  auto log = std::make_unique<log_store>(*folder_, kSegmentBytes);
  auto opened = log->Open();
  if (!opened) return failure(StartError(opened.assume_error()));
  const stored_state& state = opened.assume_value();
  if (state.stored_snapshot) {
    snapshot_ = state.stored_snapshot->index;
    Append(stored_, *state.stored_snapshot->data);
  } else {
    // The log must follow a snapshot.
    storage_writes first;
    first.stored_snapshot = Snapshot(log_index(), {});
    auto written = log->Write(first);
    if (!written) return failure(StartError(written.assume_error()));
  }
  last_ = snapshot_;
  for (const log_entry& entry : state.entries) {
    if (entry.index <= snapshot_) continue;
    Append(stored_, entry.payload);
    last_ = entry.index;
  }
  synced_ticket_ = last_.value();
  disk_.AddGroup(kLogNumber, std::move(log));
  return success();
}

void ending_store::Record(const endpoint_record& record) {
  if (has_failed_) return;
  last_ = last_.Next();
  storage_writes writes;
  writes.ticket = last_.value();
  writes.entries = {
      {last_, kTerm, entry_kind::kCommand, EncodeEndpointRecords({record})}};
  if (last_.value() - snapshot_.value() >= kCompactionEntries) {
    writes.stored_snapshot = Snapshot(last_, hooks_.current());
    writes.compact_before = last_;
    snapshot_ = last_;
  }
  disk_.Enqueue(kLogNumber, {std::move(writes)});
}

void ending_store::WhenDurable(std::function<void()> done) {
  if (has_failed_ || synced_ticket_ >= last_.value()) return done();
  waiting_.emplace_back(last_.value(), std::move(done));
}

void ending_store::Tick(steady_time now) {
  if (!has_failed_) return;
  if (!retry_at_) retry_at_ = now + kRetryInterval;
  if (now < *retry_at_) return;
  retry_at_.reset();
  WriteAnew();
}

void ending_store::WriteAnew() {
  has_failed_ = false;
  last_ = last_.Next();
  snapshot_ = last_;
  anew_ticket_ = last_.value();
  storage_writes writes;
  writes.ticket = anew_ticket_;
  writes.stored_snapshot = Snapshot(last_, hooks_.current());
  writes.replaces_all = true;
  disk_.Enqueue(kLogNumber, {std::move(writes)});
}

void ending_store::OnSynced(std::uint64_t ticket) {
  if (anew_ticket_ != 0 && ticket >= anew_ticket_) {
    anew_ticket_ = 0;
    LogEvent(log_level::kInfo, "ending_store_recovered");
  }
  synced_ticket_ = std::max(synced_ticket_, ticket);
  while (!waiting_.empty() && waiting_.front().first <= synced_ticket_) {
    const auto done = std::move(waiting_.front().second);
    waiting_.pop_front();
    done();
  }
}

void ending_store::OnFailed(const storage_error& error) {
  LogEvent(log_level::kError, "ending_store_failed",
           {{"file", error.file}, {"detail", error.detail}});
  has_failed_ = true;
  anew_ticket_ = 0;
  OnSynced(last_.value());
}

}  // namespace marjoramsill
