#include <algorithm>
#include <functional>
#include <utility>

#include "process/replication/message_codec.h"
#include "process/replication/raft_node.h"

namespace marjoramsill {
namespace {

/// Heartbeat rounds whose send time is kept. Responses to older rounds cannot
/// extend the lease.
constexpr std::size_t kMaxTrackedRounds = 32;

std::size_t PayloadBytes(const std::vector<log_entry>& entries) {
  std::size_t bytes = 0;
  for (const log_entry& entry : entries) bytes += entry.payload.size();
  return bytes;
}

}  // namespace

result<log_position, propose_error> raft_node::Propose(std::string command,
                                                       steady_time now) {
  now = last_now_ = std::max(now, last_now_);
  CheckQuorum(now);
  if (role_ != raft_role::kLeader) return failure(propose_error::kNotLeader);
  if (transfer_to_) return failure(propose_error::kTransferring);
  if (command.size() > settings_.max_command_bytes) {
    return failure(propose_error::kTooLarge);
  }
  if (uncommitted_bytes_ + command.size() > settings_.max_uncommitted_bytes) {
    return failure(propose_error::kOverloaded);
  }
  AppendAsLeader(entry_kind::kCommand, std::move(command), now);
  return log_position{log_.last_index(), term()};
}

void raft_node::AppendAsLeader(entry_kind kind, std::string payload,
                               steady_time now) {
  uncommitted_bytes_ += payload.size();
  AppendEntry({log_.last_index().Next(), term(), kind, std::move(payload)},
              now);
  replicate_needed_ = true;
}

void raft_node::AppendEntry(log_entry entry, steady_time now) {
  PendingWrites().entries.push_back(entry);
  if (entry.kind == entry_kind::kConfiguration) {
    auto decoded = DecodeConfiguration(entry.payload);
    if (decoded) AdoptConfiguration(decoded.value(), entry.index, now);
  }
  log_.Append(std::move(entry));
}

void raft_node::TruncateLog(log_index from) {
  log_.TruncateFrom(from);
  storage_writes& writes = PendingWrites();
  std::erase_if(writes.entries,
                [&](const log_entry& entry) { return entry.index >= from; });
  writes.truncate_from = std::min(from, writes.truncate_from.value_or(from));
  const log_index last = log_.last_index();
  durable_ = std::min(durable_, last);
  for (auto& mark : durable_marks_) mark.second = std::min(mark.second, last);
  DiscardHeldAppendResponses();
  RevertConfiguration(from);
}

/// Discards unsent acknowledgements, because they may cover entries that were
/// truncated before they were durable.
void raft_node::DiscardHeldAppendResponses() {
  std::erase_if(held_, [](const held_message& held) {
    return std::holds_alternative<append_response>(held.message.body);
  });
}

peer_progress* raft_node::ProgressOf(const member_id& id) {
  auto it = progress_.find(id);
  return it == progress_.end() ? nullptr : &it->second;
}

void raft_node::Replicate(steady_time now) {
  for (auto& [id, progress] : progress_) ReplicateTo(id, progress, now);
}

void raft_node::ReplicateTo(const member_id& to, peer_progress& progress,
                            steady_time now) {
  if (now - progress.last_contact >= ContactTimeout(to)) {
    // An unresponsive member receives only heartbeats. Its response resumes
    // replication.
    if (!progress.window.IsIdle() || progress.sending_snapshot) return;
  }
  if (progress.sending_snapshot) return;
  while (progress.window.HasRoom(settings_) &&
         progress.match < log_.last_index()) {
    if (progress.probing && !progress.window.IsIdle()) return;
    if (progress.next > log_.last_index() && !progress.probing) return;
    const log_index previous(progress.next.value() - 1);
    const std::optional<log_term> previous_term = log_.TermAt(previous);
    if (!previous_term) return StartSnapshot(to, progress, now);
    append_request request{round_, previous, *previous_term, commit_, {}};
    request.entries = log_.Copy(progress.next, settings_.max_append_entries,
                                progress.window.NextRequestBytes(settings_));
    const log_index last(previous.value() + request.entries.size());
    if (!progress.probing) progress.next = last.Next();
    progress.window.RecordSent(last, PayloadBytes(request.entries), now);
    progress.commit_sent = commit_;
    Send(to, std::move(request));
  }
}

/// Sends requests again that have had no response for too long.
void raft_node::ResendLost(const member_id& to, peer_progress& progress,
                           steady_time now) {
  const bool overdue = progress.window.IsOverdue(settings_, now);
  if (!overdue && !progress.window.IsIdle()) return;
  if (overdue) progress.window.RecordLoss(settings_);
  if (progress.sending_snapshot) {
    return SendSnapshotPart(to, progress, now);
  }
  if (overdue || progress.next > progress.match.Next()) {
    progress.probing = true;
    progress.next = progress.match.Next();
  }
  ReplicateTo(to, progress, now);
}

void raft_node::BroadcastHeartbeat(steady_time now) {
  // Aligned to multiples of the interval, so that the heartbeats of all groups
  // that a VM leads are sent at the same time and share bundles.
  const std::chrono::microseconds interval = settings_.heartbeat_interval;
  const auto since = now.time_since_epoch();
  next_heartbeat_ = steady_time((since / interval + 1) * interval);
  // Heartbeats to standbys are aligned in the same way.
  const bool standbys =
      since / interval % settings_.standby_heartbeat_every == 0;
  ++round_;
  rounds_[round_] = now;
  if (rounds_.size() > kMaxTrackedRounds) rounds_.erase(rounds_.begin());
  for (auto& [id, progress] : progress_) {
    if (!standbys && !configuration_.IsVoter(id)) continue;
    SendHeartbeat(id, progress);
  }
  UpdateLease();
}

void raft_node::SendHeartbeat(const member_id& to, peer_progress& progress) {
  progress.commit_sent = std::min(commit_, progress.match);
  Send(to, heartbeat{round_, progress.commit_sent});
}

void raft_node::NotifyCommit() {
  commit_notice_at_.reset();
  for (auto& [id, progress] : progress_) {
    const log_index known = std::min(commit_, progress.match);
    if (progress.commit_sent < known) SendHeartbeat(id, progress);
  }
}

void raft_node::RecordRound(peer_progress& progress, std::uint64_t round,
                            steady_time now) {
  progress.last_contact = now;
  auto it = rounds_.find(round);
  if (round <= progress.round || it == rounds_.end()) return;
  progress.round = round;
  progress.round_sent_at = it->second;
  UpdateLease();
}

void raft_node::AdvanceCommit(steady_time now) {
  std::vector<log_index> matches;
  for (const group_member& member : configuration_.members) {
    if (!member.voter) continue;
    const peer_progress* progress = ProgressOf(member.id);
    matches.push_back(member.id == self()   ? durable_
                      : progress != nullptr ? progress->match
                                            : log_index());
  }
  const std::size_t quorum = configuration_.quorum();
  if (matches.size() < quorum) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const log_index index = matches[quorum - 1];
  // Only entries of the current term are committed by counting replicas.
  if (index <= commit_ || log_.TermAt(index) != term()) return;
  for (log_index i = commit_.Next(); i <= index; i = i.Next()) {
    const log_entry* entry = log_.Find(i);
    if (entry == nullptr || entry->term != term()) continue;
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, entry->payload.size());
  }
  CommitTo(index);
  if (!commit_notice_at_) {
    commit_notice_at_ = now + settings_.commit_notice_delay;
  }
  if (commit_ >= configuration_index_ && !configuration_.IsVoter(self())) {
    BecomeFollower(term(), std::nullopt, now);
  }
}

void raft_node::CommitTo(log_index index) {
  commit_ = std::max(commit_, std::min(index, log_.last_index()));
  ApplyCommitted();
}

void raft_node::ApplyCommitted() {
  // Entries are applied only once they are durable here as well, so that a
  // stored snapshot never covers entries missing from the stored log.
  const log_index end = std::min(commit_, durable_);
  while (applied_ < end) {
    const log_entry* entry = log_.Find(applied_.Next());
    if (entry == nullptr) return;
    output_.committed.push_back(*entry);
    applied_ = entry->index;
    applied_bytes_ += entry->payload.size();
  }
  RequestCompaction();
}

/// Follows the sender as the leader of this term. Returns false if this member
/// is itself the leader of the term.
bool raft_node::FollowLeader(const raft_message& message, steady_time now) {
  if (role_ == raft_role::kLeader) return false;
  if (role_ != raft_role::kFollower || leader_ != message.from) {
    BecomeFollower(term(), message.from, now);
  }
  last_leader_contact_ = now;
  ResetElectionTimer(now);
  return true;
}

void raft_node::OnHeartbeat(const raft_message& message,
                            const heartbeat& body) {
  if (start_checked_ && !IsEmpty()) CommitTo(body.commit);
  Send(message.from, heartbeat_response{body.round});
}

void raft_node::OnHeartbeatResponse(const raft_message& message,
                                    const heartbeat_response& response,
                                    steady_time now) {
  peer_progress* progress = ProgressOf(message.from);
  if (progress == nullptr) return;
  RecordRound(*progress, response.round, now);
  ResendLost(message.from, *progress, now);
}

void raft_node::OnAppend(const raft_message& message,
                         const append_request& request, steady_time now) {
  // Before the start check is complete, the state on this disk may be older
  // than what this member has acknowledged.
  if (!start_checked_) return;
  if (IsEmpty()) {
    return Send(message.from,
                append_response{request.round, false, log_index(), nonce_});
  }
  const log_index previous = request.previous_index;
  if (previous >= log_.base_index() &&
      log_.TermAt(previous) != request.previous_term) {
    const log_index before(previous.value() - 1);
    const log_index hint =
        std::max(commit_, std::min(log_.last_index(), before));
    return Send(message.from, append_response{request.round, false, hint, 0});
  }
  log_index match = previous;
  for (const log_entry& entry : request.entries) {
    if (entry.index != match.Next()) return;
    match = entry.index;
    if (entry.index <= log_.base_index()) continue;
    const std::optional<log_term> present = log_.TermAt(entry.index);
    if (present == entry.term) continue;
    // A committed entry is never replaced, so the request is invalid.
    if (entry.index <= commit_) return;
    if (present) TruncateLog(entry.index);
    AppendEntry(entry, now);
  }
  CommitTo(std::min(request.commit, match));
  SendWhenDurable(message.from, append_response{request.round, true, match, 0});
}

void raft_node::OnAppendResponse(const raft_message& message,
                                 const append_response& response,
                                 steady_time now) {
  peer_progress* progress = ProgressOf(message.from);
  if (progress == nullptr || response.index > log_.last_index()) return;
  RecordRound(*progress, response.round, now);
  const bool probing = progress->probing;
  if (response.success) {
    progress->window.RecordResponse(response.index, settings_, now);
    OnMatch(*progress, response.index, now);
  } else if (response.nonce != 0) {
    progress->nonce = response.nonce;
    if (!progress->sending_snapshot) {
      StartSnapshot(message.from, *progress, now);
    }
    return;
  } else if (response.index >= progress->match) {
    progress->probing = true;
    progress->window.Clear();
    progress->next = std::max(progress->match.Next(),
                              std::min(progress->next, response.index.Next()));
  }
  // The commit may have removed this leader or the member from the group.
  progress = ProgressOf(message.from);
  if (progress == nullptr) return;
  // Decided only when the position of the member becomes known, because the
  // bytes that it lacks are counted entry by entry.
  if (probing && !progress->probing && !progress->sending_snapshot &&
      IsSnapshotShorter(progress->match)) {
    return StartSnapshot(message.from, *progress, now);
  }
  ReplicateTo(message.from, *progress, now);
}

void raft_node::OnMatch(peer_progress& progress, log_index index,
                        steady_time now) {
  progress.match = std::max(progress.match, index);
  progress.next = std::max(progress.next, progress.match.Next());
  progress.probing = false;
  if (progress.sending_snapshot && index >= progress.snapshot_index) {
    progress.sending_snapshot = false;
    progress.window.Clear();
  }
  AdvanceCommit(now);
}

void raft_node::RequestRead(std::uint64_t id, steady_time now) {
  now = last_now_ = std::max(now, last_now_);
  CheckQuorum(now);
  if (role_ != raft_role::kLeader) {
    output_.reads.push_back({id, false});
    return;
  }
  const std::optional<steady_time> lease = LeaseEnd();
  const bool confirmed = lease && now < *lease;
  if (!confirmed && (reads_.empty() || reads_.back().confirmed)) {
    BroadcastHeartbeat(now);
  }
  // A round that was sent before this request does not confirm leadership for
  // it, so a read that joins a pending one waits for the next round.
  const bool joins = !confirmed && rounds_.rbegin()->second != now;
  reads_.push_back({id, joins ? round_ + 1 : round_,
                    std::max(commit_, term_start_index_), confirmed});
}

void raft_node::CompleteReads() {
  if (reads_.empty()) return;
  std::vector<std::uint64_t> rounds;
  for (const group_member& member : configuration_.members) {
    if (!member.voter) continue;
    const peer_progress* progress = ProgressOf(member.id);
    rounds.push_back(member.id == self()   ? round_
                     : progress != nullptr ? progress->round
                                           : 0);
  }
  const std::size_t quorum = configuration_.quorum();
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const std::uint64_t confirmed =
      rounds.size() < quorum ? 0 : rounds[quorum - 1];
  while (!reads_.empty()) {
    const pending_read& read = reads_.front();
    if (!read.confirmed && read.round > confirmed) return;
    if (applied_ < read.index) return;
    output_.reads.push_back({read.id, true});
    reads_.pop_front();
  }
}

}  // namespace marjoramsill
