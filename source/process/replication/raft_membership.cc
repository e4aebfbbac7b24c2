#include <algorithm>
#include <utility>

#include "process/replication/message_codec.h"
#include "process/replication/raft_node.h"

namespace marjoramsill {

void raft_node::AdoptConfiguration(group_configuration configuration,
                                   log_index index, steady_time now) {
  configuration_history_[index.value()] = configuration;
  configuration_ = std::move(configuration);
  configuration_index_ = index;
  if (role_ == raft_role::kLeader) UpdateProgressRecords(now);
}

void raft_node::RevertConfiguration(log_index from) {
  configuration_history_.erase(configuration_history_.lower_bound(from.value()),
                               configuration_history_.end());
  if (configuration_history_.empty()) return;
  configuration_ = configuration_history_.rbegin()->second;
  configuration_index_ = log_index(configuration_history_.rbegin()->first);
}

/// Adds a progress record for each new member of the configuration and removes
/// those of former members.
void raft_node::UpdateProgressRecords(steady_time now) {
  std::erase_if(progress_, [&](const auto& item) {
    return configuration_.Find(item.first) == nullptr;
  });
  for (const group_member& member : configuration_.members) {
    if (member.id == self() || progress_.contains(member.id)) continue;
    peer_progress& progress = progress_[member.id];
    progress.next = log_.last_index().Next();
    progress.last_contact = now;
    progress.round_sent_at = now;
  }
}

/// Only one configuration change at a time: the previous one and an entry of
/// this term must be committed. Otherwise two disjoint majorities could exist.
bool raft_node::MayChangeConfiguration() const {
  return role_ == raft_role::kLeader && !transfer_to_ &&
         commit_ >= configuration_index_ && commit_ >= term_start_index_;
}

void raft_node::ProposeConfiguration(const group_configuration& next,
                                     steady_time now) {
  if (!MayChangeConfiguration() || !IsSingleStep(configuration_, next)) return;
  AppendAsLeader(entry_kind::kConfiguration, EncodeConfiguration(next), now);
}

void raft_node::ProposeRepair(steady_time now) {
  if (!MayChangeConfiguration()) return;
  auto next = PlanRepair(configuration_, self(), CollectHealth(now), settings_);
  if (next) ProposeConfiguration(*next, now);
}

/// Time without contact after which a member counts as inactive. Longer for
/// standbys, because they receive fewer heartbeats than voters.
std::chrono::microseconds raft_node::ContactTimeout(const member_id& id) const {
  if (configuration_.IsVoter(id)) return settings_.election_timeout_min;
  return 2 * settings_.standby_heartbeat_every * settings_.heartbeat_interval;
}

std::vector<member_health> raft_node::CollectHealth(steady_time now) const {
  std::vector<member_health> health;
  for (const auto& [id, progress] : progress_) {
    const std::chrono::microseconds without_contact =
        now - progress.last_contact;
    // A standby is promoted only after a recent message, although it receives
    // fewer heartbeats: promoting a lost one would raise the quorum without
    // adding a vote. It must hold all that is committed: the voters that it
    // makes up for may be lost next.
    const bool caught_up = without_contact < settings_.election_timeout_min &&
                           progress.match.value() > 0 &&
                           progress.match >= commit_;
    health.push_back({id, without_contact, without_contact < ContactTimeout(id),
                      caught_up, progress.leaving});
  }
  return health;
}

void raft_node::Leave(steady_time now) {
  last_now_ = std::max(now, last_now_);
  leaving_ = true;
  next_leave_ = last_now_;
  if (role_ == raft_role::kLeader) TransferLeadership(last_now_);
  TickJoin(last_now_);
}

void raft_node::TickLeave(steady_time now) {
  if (now < next_leave_ || left_) return;
  next_leave_ = now + settings_.heartbeat_interval;
  if (role_ == raft_role::kLeader) {
    TransferLeadership(now);
  } else if (leader_) {
    Send(*leader_, leave_request{});
  }
}

void raft_node::OnLeaveRequest(const raft_message& message) {
  if (role_ != raft_role::kLeader) return;
  if (peer_progress* progress = ProgressOf(message.from)) {
    progress->leaving = true;
  } else if (configuration_index_ <= commit_) {
    // The removal is committed. The member must be informed by a message,
    // because it does not receive the log any more.
    Send(message.from, join_response{self()});
  }
}

/// Sends join requests to the other VMs while this member has no contact with a
/// leader.
void raft_node::TickJoin(steady_time now) {
  if (leaving_) return TickLeave(now);
  if (role_ == raft_role::kLeader || now < next_join_) return;
  const std::chrono::microseconds timeout = configuration_.IsVoter(self())
                                                ? settings_.election_timeout_max
                                                : ContactTimeout(self());
  next_join_ = now + settings_.heartbeat_interval;
  if (!IsEmpty() && now - last_leader_contact_ < timeout) return;
  const join_request request{start_.domain, IsEmpty() ? nonce_ : 0};
  if (join_hint_) {
    Send(*std::exchange(join_hint_, std::nullopt), request);
    return;
  }
  next_join_ = now + settings_.election_timeout_max;
  for (const vm_id& peer : start_.peers) {
    if (peer != self().vm) Send({peer, disk_id()}, request);
  }
}

void raft_node::OnJoinRequest(const raft_message& message,
                              const join_request& request, steady_time now) {
  if (role_ != raft_role::kLeader) {
    if (leader_) Send(message.from, join_response{leader_});
    return;
  }
  Send(message.from, join_response{self()});
  if (peer_progress* progress = ProgressOf(message.from)) {
    progress->last_contact = now;
    if (request.nonce != 0) progress->nonce = request.nonce;
    SendHeartbeat(message.from, *progress);
    return;
  }
  if (configuration_.members.size() >= settings_.max_members) return;
  if (!MayChangeConfiguration()) return;
  group_configuration next = configuration_;
  next.Set({message.from, request.domain, false});
  ProposeConfiguration(next, now);
  if (peer_progress* progress = ProgressOf(message.from)) {
    progress->nonce = request.nonce;
  }
}

void raft_node::OnJoinResponse(const raft_message& message,
                               const join_response& response) {
  // A leader with an earlier disk of this VM does not exist any more.
  if (!response.leader || response.leader->vm == self().vm) return;
  group_seen_elsewhere_ = true;
  if (leaving_ && message.from == *response.leader) left_ = true;
  if (message.from == *response.leader) return;
  join_hint_ = response.leader;
  next_join_ = last_now_;
}

}  // namespace marjoramsill
