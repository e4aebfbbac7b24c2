#include <algorithm>
#include <utility>

#include "process/replication/raft_node.h"

namespace marjoramsill {
namespace {

std::string_view DataOf(const snapshot& taken) {
  if (!taken.data) return {};
  return *taken.data;
}

}  // namespace

void raft_node::StartSnapshot(const member_id& to, peer_progress& progress,
                              steady_time now) {
  progress.sending_snapshot = true;
  progress.snapshot_index = snapshot_.index;
  progress.snapshot_offset = 0;
  progress.window.Clear();
  // The entries since an old snapshot may hold far more than a new one.
  if (applied_ > snapshot_.index && applied_bytes_ > DataOf(snapshot_).size()) {
    RequestSnapshot();
    return;
  }
  SendSnapshotPart(to, progress, now);
}

void raft_node::SendRequestedSnapshots(steady_time now) {
  for (auto& [id, progress] : progress_) {
    if (progress.sending_snapshot && progress.window.IsIdle()) {
      SendSnapshotPart(id, progress, now);
    }
  }
}

/// True if the entries after `match` hold more than one append request and more
/// than the last snapshot.
bool raft_node::IsSnapshotShorter(log_index match) const {
  if (match >= applied_) return false;
  const std::size_t bytes = log_.PayloadBytesAfter(match);
  return bytes > settings_.max_append_bytes && bytes > DataOf(snapshot_).size();
}

void raft_node::SendSnapshotPart(const member_id& to, peer_progress& progress,
                                 steady_time now) {
  if (progress.snapshot_index != snapshot_.index) {
    progress.snapshot_index = snapshot_.index;
    progress.snapshot_offset = 0;
  }
  const std::string_view data = DataOf(snapshot_);
  const std::uint64_t offset =
      std::min<std::uint64_t>(progress.snapshot_offset, data.size());
  const std::string_view part =
      data.substr(offset, settings_.snapshot_part_bytes);
  progress.window.RecordSent(snapshot_.index, part.size(), now);
  Send(to, snapshot_part{round_, snapshot_.index, snapshot_.term,
                         snapshot_.configuration, progress.nonce, offset,
                         data.size(), std::string(part)});
}

void raft_node::OnSnapshotPart(const raft_message& message,
                               const snapshot_part& part, steady_time now) {
  if (!start_checked_) return;
  // The nonce changes whenever another member starts a bootstrap. A current
  // nonce shows that the sender does not act on an outdated bootstrap response.
  if (IsEmpty() && part.nonce != nonce_) {
    return Send(message.from,
                append_response{part.round, false, log_index(), nonce_});
  }
  if (part.index <= commit_) {
    return SendWhenDurable(message.from,
                           append_response{part.round, true, commit_, 0});
  }
  if (part.offset == 0) {
    incoming_ = incoming_snapshot{
        message.from, part.index, part.entry_term, part.configuration, {}};
  }
  const bool fits = incoming_ && incoming_->from == message.from &&
                    incoming_->index == part.index &&
                    incoming_->term == part.entry_term &&
                    incoming_->data.size() == part.offset;
  if (fits) incoming_->data += part.data;
  if (!fits || incoming_->data.size() < part.total) {
    const bool same = incoming_ && incoming_->from == message.from &&
                      incoming_->index == part.index;
    const std::uint64_t received = same ? incoming_->data.size() : 0;
    return Send(message.from,
                snapshot_response{part.round, part.index, received});
  }
  InstallSnapshot(
      {incoming_->index, incoming_->term, incoming_->configuration,
       std::make_shared<const std::string>(std::move(incoming_->data))},
      now);
  incoming_.reset();
  SendWhenDurable(message.from, append_response{part.round, true, commit_, 0});
}

void raft_node::OnSnapshotResponse(const raft_message& message,
                                   const snapshot_response& response,
                                   steady_time now) {
  peer_progress* progress = ProgressOf(message.from);
  if (progress == nullptr) return;
  RecordRound(*progress, response.round, now);
  if (!progress->sending_snapshot) return;
  if (response.index != progress->snapshot_index) return;
  // A duplicate of an earlier response would cause the same part to be sent
  // twice.
  if (response.received == progress->snapshot_offset &&
      response.received != 0) {
    return;
  }
  progress->snapshot_offset = response.received;
  progress->window.RecordResponse(response.index, settings_, now);
  progress->window.Clear();
  SendSnapshotPart(message.from, *progress, now);
}

void raft_node::InstallSnapshot(snapshot received, steady_time now) {
  snapshot_ = std::move(received);
  storage_writes& writes = PendingWrites();
  writes.stored_snapshot = snapshot_;
  const bool extends = log_.TermAt(snapshot_.index) == snapshot_.term;
  if (!extends) {
    log_.Reset(snapshot_.index, snapshot_.term);
    writes.reset_log = true;
    writes.truncate_from.reset();
    writes.compact_before.reset();
    writes.entries.clear();
    durable_ = snapshot_.index;
    durable_marks_.clear();
    DiscardHeldAppendResponses();
    configuration_history_.clear();
    AdoptConfiguration(snapshot_.configuration, snapshot_.index, now);
  }
  commit_ = std::max(commit_, snapshot_.index);
  applied_ = snapshot_.index;
  durable_ = std::max(durable_, snapshot_.index);
  applied_bytes_ = 0;
  snapshot_requested_ = false;
  output_.take_snapshot = false;
  output_.committed.clear();
  output_.installed = snapshot_;
}

void raft_node::RequestCompaction() {
  const std::uint64_t entries = applied_.value() - snapshot_.index.value();
  if (snapshot_requested_ || entries == 0) return;
  if (entries < settings_.compaction_entries &&
      applied_bytes_ < settings_.compaction_bytes) {
    return;
  }
  RequestSnapshot();
}

void raft_node::RequestSnapshot() {
  snapshot_requested_ = true;
  output_.take_snapshot = true;
}

void raft_node::SnapshotTaken(log_index index, std::string data,
                              steady_time now) {
  now = last_now_ = std::max(now, last_now_);
  snapshot_requested_ = false;
  const std::optional<log_term> at = log_.TermAt(index);
  if (index <= snapshot_.index || index > applied_ || !at) return;
  auto entry = configuration_history_.upper_bound(index.value());
  --entry;
  snapshot_ = {index, *at, entry->second,
               std::make_shared<const std::string>(std::move(data))};
  configuration_history_.erase(configuration_history_.begin(), entry);
  applied_bytes_ = 0;
  storage_writes& writes = PendingWrites();
  writes.stored_snapshot = snapshot_;
  SendRequestedSnapshots(now);
  if (index.value() <= settings_.retained_entries) return;
  const log_index keep(index.value() - settings_.retained_entries);
  if (keep <= log_.base_index()) return;
  log_.CompactBefore(keep);
  writes.compact_before = keep;
}

}  // namespace marjoramsill
