#include "process/replication/raft_node.h"

#include <algorithm>
#include <utility>

#include "process/replication/message_codec.h"

namespace marjoramsill {

raft_node::raft_node(raft_settings settings, raft_start start,
                     random_source random, steady_time now)
    : settings_(settings),
      start_(std::move(start)),
      random_(std::move(random)),
      last_now_(now),
      started_at_(now),
      // Before a restart this member may have confirmed a leader's lease,
      // during which it must not vote. That is not stored, so a start counts as
      // contact with a leader.
      last_leader_contact_(now),
      next_join_(now),
      next_start_query_(now),
      next_repair_(now) {
  nonce_ = random_() | 1U;
  run_ = random_() | 1U;
  LoadStored(now);
}

void raft_node::LoadStored(steady_time now) {
  state_ = start_.stored.state;
  ++state_.starts;
  WriteState();
  if (start_.stored.stored_snapshot) {
    snapshot_ = *start_.stored.stored_snapshot;
    AdoptConfiguration(snapshot_.configuration, snapshot_.index, now);
    output_.installed = snapshot_;
  }
  commit_ = applied_ = snapshot_.index;
  log_.Reset(snapshot_.index, snapshot_.term);
  std::vector<log_entry>& entries = start_.stored.entries;
  if (!entries.empty() && entries.front().index <= snapshot_.index) {
    log_.Reset(entries.front().index, entries.front().term);
    entries.erase(entries.begin());
  }
  for (log_entry& entry : entries) {
    if (entry.kind == entry_kind::kConfiguration &&
        entry.index > snapshot_.index) {
      auto decoded = DecodeConfiguration(entry.payload);
      if (decoded) AdoptConfiguration(decoded.value(), entry.index, now);
    }
    log_.Append(std::move(entry));
  }
  start_.stored = {};
  durable_ = log_.last_index();
  start_checked_ = IsEmpty();
  if (!IsEmpty()) next_join_ = now + settings_.election_timeout_max;
  ResetElectionTimer(now);
  EvaluateStartCheck();
}

void raft_node::Tick(steady_time now) {
  now = last_now_ = std::max(now, last_now_);
  if (stale_disk_) return;
  CheckQuorum(now);
  if (!start_checked_) SendStartQueries(now);
  TickBootstrap(now);
  TickJoin(now);
  if (role_ == raft_role::kLeader) {
    TickLeader(now);
  } else if (now >= election_deadline_) {
    StartElection(true, false, now);
  }
}

void raft_node::TickLeader(steady_time now) {
  if (now >= next_heartbeat_) BroadcastHeartbeat(now);
  if (commit_notice_at_ && now >= *commit_notice_at_) NotifyCommit();
  TickTransfer(now);
  if (now >= next_repair_) {
    next_repair_ = now + settings_.heartbeat_interval;
    ProposeRepair(now);
  }
}

steady_time raft_node::NextDeadline() const {
  steady_time next = last_now_ + settings_.heartbeat_interval;
  const auto consider = [&](steady_time time) { next = std::min(next, time); };
  if (role_ == raft_role::kLeader) {
    consider(next_heartbeat_);
    if (commit_notice_at_) consider(*commit_notice_at_);
    consider(next_repair_);
  } else {
    consider(election_deadline_);
    consider(next_join_);
  }
  if (!start_checked_) consider(next_start_query_);
  return next;
}

bool raft_node::AcceptsMessage(const raft_message& message) const {
  if (message.from == self() || message.from.disk == disk_id()) return false;
  if (message.to.vm != self().vm) return false;
  if (message.to.disk == self().disk) return true;
  // A message to an earlier disk of this VM must get no response, because the
  // votes and acknowledgements stored on that disk are unknown here.
  return message.to.disk == disk_id() &&
         (std::holds_alternative<join_request>(message.body) ||
          std::holds_alternative<bootstrap_query>(message.body) ||
          std::holds_alternative<start_query>(message.body));
}

void raft_node::Receive(const raft_message& message, steady_time now) {
  now = last_now_ = std::max(now, last_now_);
  if (stale_disk_ || !AcceptsMessage(message)) return;
  // After a pause of the process the leadership may be outdated: step down
  // first.
  CheckQuorum(now);
  if (DispatchWithoutTerm(message, now)) return;
  if (ObserveTerm(message, now)) Dispatch(message, now);
}

bool raft_node::DispatchWithoutTerm(const raft_message& message,
                                    steady_time now) {
  const raft_body& body = message.body;
  if (const auto* b = std::get_if<join_request>(&body)) {
    OnJoinRequest(message, *b, now);
  } else if (const auto* b2 = std::get_if<join_response>(&body)) {
    OnJoinResponse(message, *b2);
  } else if (std::holds_alternative<leave_request>(body)) {
    OnLeaveRequest(message);
  } else if (std::holds_alternative<bootstrap_query>(body)) {
    OnBootstrapQuery(message);
  } else if (const auto* b3 = std::get_if<bootstrap_response>(&body)) {
    OnBootstrapResponse(message, *b3, now);
  } else if (const auto* b4 = std::get_if<start_query>(&body)) {
    OnStartQuery(message, *b4);
  } else if (const auto* b5 = std::get_if<start_response>(&body)) {
    OnStartResponse(message, *b5);
  } else if (const auto* b6 = std::get_if<vote_request>(&body)) {
    OnVoteRequest(message, *b6, now);
  } else {
    return false;
  }
  return true;
}

bool raft_node::ObserveTerm(const raft_message& message, steady_time now) {
  const bool from_leader =
      std::holds_alternative<heartbeat>(message.body) ||
      std::holds_alternative<append_request>(message.body) ||
      std::holds_alternative<snapshot_part>(message.body);
  if (message.term < term()) {
    // Informs a deposed leader of the current term.
    if (from_leader) Send(message.from, heartbeat_response{});
    return false;
  }
  const auto* vote = std::get_if<vote_response>(&message.body);
  if (vote != nullptr && vote->pre_vote && vote->granted) return true;
  if (message.term > term()) {
    BecomeFollower(message.term, std::nullopt, now);
  }
  if (from_leader && !FollowLeader(message, now)) return false;
  return true;
}

void raft_node::Dispatch(const raft_message& message, steady_time now) {
  const raft_body& body = message.body;
  if (const auto* b = std::get_if<vote_response>(&body)) {
    OnVoteResponse(message, *b, now);
  } else if (const auto* b1 = std::get_if<heartbeat>(&body)) {
    OnHeartbeat(message, *b1);
  } else if (const auto* b2 = std::get_if<heartbeat_response>(&body)) {
    OnHeartbeatResponse(message, *b2, now);
  } else if (const auto* b3 = std::get_if<append_request>(&body)) {
    OnAppend(message, *b3, now);
  } else if (const auto* b4 = std::get_if<append_response>(&body)) {
    OnAppendResponse(message, *b4, now);
  } else if (const auto* b5 = std::get_if<snapshot_part>(&body)) {
    OnSnapshotPart(message, *b5, now);
  } else if (const auto* b6 = std::get_if<snapshot_response>(&body)) {
    OnSnapshotResponse(message, *b6, now);
  } else if (std::holds_alternative<timeout_now>(body)) {
    OnTimeoutNow(message, now);
  }
}

void raft_node::Send(const member_id& to, raft_body body) {
  output_.messages.push_back({self(), to, term(), std::move(body)});
}

void raft_node::SendWhenDurable(const member_id& to, raft_body body) {
  raft_message message{self(), to, term(), std::move(body)};
  if (last_ticket_ > synced_ticket_) {
    held_.push_back({last_ticket_, std::move(message)});
  } else {
    output_.messages.push_back(std::move(message));
  }
}

storage_writes& raft_node::PendingWrites() {
  if (!output_.writes) {
    output_.writes.emplace();
    output_.writes->ticket = ++last_ticket_;
  }
  return *output_.writes;
}

void raft_node::WriteState() { PendingWrites().state = state_; }

void raft_node::SyncCompleted(std::uint64_t ticket, steady_time now) {
  now = last_now_ = std::max(now, last_now_);
  synced_ticket_ = std::max(synced_ticket_, ticket);
  while (!durable_marks_.empty() &&
         durable_marks_.front().first <= synced_ticket_) {
    durable_ = std::max(durable_, durable_marks_.front().second);
    durable_marks_.pop_front();
  }
  while (!held_.empty() && held_.front().ticket <= synced_ticket_) {
    output_.messages.push_back(std::move(held_.front().message));
    held_.pop_front();
  }
  if (role_ == raft_role::kCandidate && own_vote_ticket_ <= synced_ticket_) {
    votes_[self()] = true;
    CountVotes(now);
  }
  if (role_ == raft_role::kLeader) AdvanceCommit(now);
  ApplyCommitted();
}

raft_output raft_node::TakeOutput() {
  if (role_ == raft_role::kLeader && replicate_needed_) Replicate(last_now_);
  replicate_needed_ = false;
  CompleteReads();
  ReportRoleChange();
  if (output_.writes) {
    durable_marks_.emplace_back(output_.writes->ticket, log_.last_index());
  }
  output_.stale_disk = stale_disk_;
  return std::exchange(output_, raft_output{});
}

void raft_node::ReportRoleChange() {
  const role_change now{role_, term(), leader_};
  if (now == reported_role_) return;
  reported_role_ = now;
  output_.role = now;
}

}  // namespace marjoramsill
