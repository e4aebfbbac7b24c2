#include <algorithm>
#include <functional>
#include <utility>

#include "process/replication/raft_node.h"

namespace marjoramsill {

void raft_node::BecomeFollower(log_term new_term,
                               std::optional<member_id> leader,
                               steady_time now) {
  if (new_term > term()) {
    state_.term = new_term;
    state_.voted_for.reset();
    WriteState();
  }
  role_ = raft_role::kFollower;
  leader_ = std::move(leader);
  for (const pending_read& read : reads_) {
    output_.reads.push_back({read.id, false});
  }
  reads_.clear();
  votes_.clear();
  lease_end_.reset();
  transfer_to_.reset();
  commit_notice_at_.reset();
  progress_.clear();
  ResetElectionTimer(now);
}

void raft_node::ResetElectionTimer(steady_time now) {
  const std::chrono::microseconds shortest = settings_.election_timeout_min;
  const std::chrono::microseconds spread =
      settings_.election_timeout_max - settings_.election_timeout_min;
  const auto range = static_cast<std::uint64_t>(spread.count()) + 1;
  election_deadline_ =
      now + shortest + std::chrono::microseconds(random_() % range);
}

bool raft_node::HasRecentLeaderContact(steady_time now) const {
  return role_ == raft_role::kLeader ||
         now - last_leader_contact_ < settings_.election_timeout_min;
}

bool raft_node::LogIsUpToDate(const vote_request& request) const {
  return std::pair(request.last_term, request.last_index) >=
         std::pair(log_.last_term(), log_.last_index());
}

/// Sets a shorter deadline than ResetElectionTimer: the shortest election
/// timeout has passed already, and only a split vote must be avoided.
void raft_node::RetryElectionSoon(steady_time now) {
  const std::chrono::microseconds spread =
      settings_.election_timeout_max - settings_.election_timeout_min;
  const auto range = static_cast<std::uint64_t>(spread.count()) / 2 + 1;
  election_deadline_ =
      now + spread / 2 + std::chrono::microseconds(random_() % range);
}

void raft_node::StartElection(bool pre_vote, bool transfer, steady_time now) {
  RetryElectionSoon(now);
  if (!configuration_.IsVoter(self()) || !start_checked_ || leaving_) return;
  votes_.clear();
  leader_.reset();
  if (pre_vote) {
    role_ = raft_role::kPreCandidate;
    votes_[self()] = true;
  } else {
    role_ = raft_role::kCandidate;
    state_.term = term().Next();
    state_.voted_for = self();
    WriteState();
    own_vote_ticket_ = last_ticket_;
  }
  const vote_request request{pre_vote, transfer, log_.last_index(),
                             log_.last_term()};
  for (const group_member& member : configuration_.members) {
    if (!member.voter || member.id == self()) continue;
    if (pre_vote) {
      // Carries the term that the real election would use.
      output_.messages.push_back({self(), member.id, term().Next(), request});
    } else {
      SendWhenDurable(member.id, request);
    }
  }
  CountVotes(now);
}

void raft_node::OnVoteRequest(const raft_message& message,
                              const vote_request& request, steady_time now) {
  if (!start_checked_) return;
  const bool blocked = HasRecentLeaderContact(now) && !request.transfer;
  if (message.term < term() || blocked) {
    if (message.term < term() || request.pre_vote) {
      Send(message.from, vote_response{request.pre_vote, false});
    }
    return;
  }
  if (request.pre_vote) {
    const bool granted = message.term > term() && LogIsUpToDate(request);
    output_.messages.push_back({self(), message.from,
                                granted ? message.term : term(),
                                vote_response{true, granted}});
    return;
  }
  if (message.term > term()) {
    BecomeFollower(message.term, std::nullopt, now);
  }
  const bool free = !state_.voted_for || *state_.voted_for == message.from;
  const bool granted = free && LogIsUpToDate(request);
  if (granted && !state_.voted_for) {
    state_.voted_for = message.from;
    WriteState();
    ResetElectionTimer(now);
  }
  SendWhenDurable(message.from, vote_response{false, granted});
}

void raft_node::OnVoteResponse(const raft_message& message,
                               const vote_response& response, steady_time now) {
  const bool pre_vote = role_ == raft_role::kPreCandidate;
  if (!pre_vote && role_ != raft_role::kCandidate) return;
  if (response.pre_vote != pre_vote) return;
  if (pre_vote && response.granted && message.term != term().Next()) return;
  votes_[message.from] = response.granted;
  CountVotes(now);
}

void raft_node::CountVotes(steady_time now) {
  std::size_t granted = 0;
  for (const auto& [member, vote] : votes_) {
    if (vote && configuration_.IsVoter(member)) ++granted;
  }
  if (granted < configuration_.quorum()) return;
  if (role_ == raft_role::kPreCandidate) {
    StartElection(false, false, now);
  } else if (role_ == raft_role::kCandidate) {
    BecomeLeader(now);
  }
}

void raft_node::BecomeLeader(steady_time now) {
  role_ = raft_role::kLeader;
  leader_ = self();
  leader_since_ = now;
  progress_.clear();
  rounds_.clear();
  round_ = 0;
  lease_end_.reset();
  lease_disabled_ = false;
  transfer_to_.reset();
  uncommitted_bytes_ = 0;
  next_repair_ = now + settings_.election_timeout_max;
  UpdateProgressRecords(now);
  AppendAsLeader(entry_kind::kNoOperation, {}, now);
  term_start_index_ = log_.last_index();
  BroadcastHeartbeat(now);
}

void raft_node::CheckQuorum(steady_time now) {
  if (role_ != raft_role::kLeader) return;
  std::vector<steady_time> contacts;
  for (const group_member& member : configuration_.members) {
    if (!member.voter) continue;
    const peer_progress* progress = ProgressOf(member.id);
    contacts.push_back(progress == nullptr ? now : progress->last_contact);
  }
  const std::size_t quorum = configuration_.quorum();
  if (contacts.size() < quorum) return;
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  if (now - contacts[quorum - 1] > settings_.election_timeout_max) {
    BecomeFollower(term(), std::nullopt, now);
  }
}

void raft_node::UpdateLease() {
  std::vector<steady_time> sent;
  for (const group_member& member : configuration_.members) {
    if (!member.voter) continue;
    if (member.id == self()) {
      sent.push_back(last_now_);
    } else if (const peer_progress* p = ProgressOf(member.id);
               p != nullptr && p->round > 0) {
      sent.push_back(p->round_sent_at);
    }
  }
  const std::size_t quorum = configuration_.quorum();
  if (sent.size() < quorum) return lease_end_.reset();
  std::sort(sent.begin(), sent.end(), std::greater<>());
  const std::chrono::microseconds shortest = settings_.election_timeout_min;
  lease_end_ = sent[quorum - 1] + shortest * settings_.lease_percent / 100;
}

std::optional<steady_time> raft_node::LeaseEnd() const {
  if (role_ != raft_role::kLeader || lease_disabled_) return std::nullopt;
  if (commit_ < term_start_index_) return std::nullopt;
  return lease_end_;
}

bool raft_node::TransferLeadership(steady_time now) {
  if (role_ != raft_role::kLeader || transfer_to_) return false;
  const peer_progress* best = nullptr;
  for (const auto& [id, progress] : progress_) {
    if (!configuration_.IsVoter(id) || progress.leaving) continue;
    if (now - progress.last_contact >= settings_.election_timeout_min) continue;
    if (best != nullptr && progress.match <= best->match) continue;
    best = &progress;
    transfer_to_ = id;
  }
  transfer_deadline_ = now + settings_.election_timeout_max;
  next_transfer_ = now;
  TickTransfer(now);
  return best != nullptr;
}

void raft_node::TickTransfer(steady_time now) {
  if (!transfer_to_) return;
  const peer_progress* progress = ProgressOf(*transfer_to_);
  if (progress == nullptr || now >= transfer_deadline_) {
    transfer_to_.reset();
    return;
  }
  if (progress->match < log_.last_index() || now < next_transfer_) return;
  // From here on votes for the target may bypass the lease, even if this
  // message arrives late. So the lease must not be used any more in this term.
  lease_disabled_ = true;
  next_transfer_ = now + settings_.heartbeat_interval;
  Send(*transfer_to_, timeout_now{});
}

void raft_node::OnTimeoutNow(const raft_message& message, steady_time now) {
  if (role_ != raft_role::kFollower || leader_ != message.from) return;
  StartElection(false, true, now);
}

}  // namespace marjoramsill
