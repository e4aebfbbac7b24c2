#include <algorithm>
#include <utility>

#include "process/replication/raft_node.h"

namespace marjoramsill {

/// Only the first VM of the list creates the group, and only after every other
/// VM has responded, during this run of the process, that it knows of no group.
/// The others receive the initial configuration from a leader, so all agree on
/// it.
void raft_node::TickBootstrap(steady_time now) {
  const std::vector<vm_id>& voters = start_.bootstrap_voters;
  if (!IsEmpty() || voters.empty() || voters.front() != self().vm) return;
  if (group_seen_elsewhere_ || now < next_bootstrap_) return;
  next_bootstrap_ = now + settings_.heartbeat_interval;
  for (const vm_id& vm : voters) {
    if (vm != self().vm) Send({vm, disk_id()}, bootstrap_query{});
  }
  if (voters.size() == 1) Bootstrap(now);
}

void raft_node::OnBootstrapQuery(const raft_message& message) {
  // The query comes from another member: responses to an earlier one must not
  // be usable any more to create a group.
  if (nonce_recipient_ != message.from) {
    nonce_recipient_ = message.from;
    nonce_ = random_() | 1U;
  }
  Send(message.from, bootstrap_response{!IsEmpty(), start_.domain, nonce_});
}

void raft_node::OnBootstrapResponse(const raft_message& message,
                                    const bootstrap_response& response,
                                    steady_time now) {
  const std::vector<vm_id>& voters = start_.bootstrap_voters;
  if (!IsEmpty() || voters.empty() || voters.front() != self().vm) return;
  if (response.has_group) group_seen_elsewhere_ = true;
  if (group_seen_elsewhere_) return;
  if (std::find(voters.begin(), voters.end(), message.from.vm) ==
      voters.end()) {
    return;
  }
  bootstrap_responses_[message.from.vm] = {message.from, response.domain, true};
  bootstrap_term_ = std::max(bootstrap_term_, message.term);
  if (bootstrap_responses_.size() + 1 == voters.size()) Bootstrap(now);
}

void raft_node::Bootstrap(steady_time now) {
  snapshot initial;
  initial.index = log_index(1);
  // Greater than every term in which an earlier member on this VM can have been
  // the leader, so that its delayed messages do not match the new log.
  initial.term = std::max(bootstrap_term_, term()).Next();
  initial.configuration.Set({self(), start_.domain, true});
  for (const auto& [vm, member] : bootstrap_responses_) {
    initial.configuration.Set(member);
  }
  state_.term = initial.term;
  state_.voted_for.reset();
  WriteState();
  InstallSnapshot(std::move(initial), now);
  election_deadline_ = now;
}

void raft_node::SendStartQueries(steady_time now) {
  // There is contact with a leader, but the voters known here do not respond:
  // all of them were replaced while this member was down. The group has a
  // majority without this member, which must join again with an empty disk.
  if (now - started_at_ > settings_.remove_after &&
      HasRecentLeaderContact(now)) {
    stale_disk_ = true;
    return;
  }
  EvaluateStartCheck();
  if (start_checked_ || now < next_start_query_) return;
  next_start_query_ = now + settings_.heartbeat_interval;
  const start_query query{state_.starts, run_};
  for (const group_member& member : StartConfiguration().members) {
    if (!member.voter || member.id == self()) continue;
    SendWhenDurable(member.id, query);
  }
  // The voters in the log of this member may all have been replaced. The
  // members on the known VMs name the present ones.
  for (const vm_id& vm : StartQueryVms()) {
    SendWhenDurable({vm, disk_id()}, query);
  }
}

/// VMs that may run a member and have not responded to a start query.
std::set<vm_id> raft_node::StartQueryVms() const {
  std::set<vm_id> vms(start_.peers.begin(), start_.peers.end());
  for (const group_member& member : configuration_.members) {
    vms.insert(member.id.vm);
  }
  vms.erase(self().vm);
  for (const member_id& member : start_responses_) vms.erase(member.vm);
  return vms;
}

/// The newest configuration known to this member or to one that has responded.
const group_configuration& raft_node::StartConfiguration() const {
  return reported_configuration_index_ > configuration_index_
             ? reported_configuration_
             : configuration_;
}

void raft_node::OnStartQuery(const raft_message& message,
                             const start_query& query) {
  start_response response;
  response.run = query.run;
  response.configuration_index = configuration_index_;
  response.configuration = configuration_;
  auto known = std::find_if(
      state_.known_starts.begin(), state_.known_starts.end(),
      [&](const known_start& item) { return item.member == message.from; });
  if (known == state_.known_starts.end()) {
    known = state_.known_starts.insert(known, {message.from, 0, 0});
  }
  const bool repeated =
      known->number == query.starts && known->run == query.run;
  response.stale = !repeated && known->number >= query.starts;
  if (!repeated && !response.stale) {
    known->number = query.starts;
    known->run = query.run;
    EraseRemovedStarts();
    WriteState();
  }
  const peer_progress* progress = ProgressOf(message.from);
  if (role_ == raft_role::kLeader && progress != nullptr) {
    response.known_index = progress->match;
  }
  SendWhenDurable(message.from, response);
}

/// Keeps the list of known starts bounded. A removed member cannot vote again
/// unless it is added again, and then it starts as a standby.
void raft_node::EraseRemovedStarts() {
  constexpr std::size_t kMaxKnownStarts = 64;
  if (state_.known_starts.size() <= kMaxKnownStarts) return;
  std::erase_if(state_.known_starts, [&](const known_start& item) {
    return configuration_.Find(item.member) == nullptr;
  });
}

void raft_node::OnStartResponse(const raft_message& message,
                                const start_response& response) {
  if (start_checked_ || response.run != run_) return;
  // Responses of earlier terms are excluded: a deposed leader may have counted
  // entries that were replaced afterwards.
  const bool lost_entries =
      message.term >= term() && response.known_index > log_.last_index();
  if (response.stale || lost_entries) {
    stale_disk_ = true;
    return;
  }
  start_responses_.insert(message.from);
  if (response.configuration_index > reported_configuration_index_) {
    reported_configuration_index_ = response.configuration_index;
    reported_configuration_ = response.configuration;
  }
  EvaluateStartCheck();
}

/// The start check is complete when a majority of the other voters has recorded
/// this start, by the newest configuration known. This member does not count
/// itself, because an older disk lacks the later starts. So any two complete
/// checks have a voter in common, which detects an older disk. If too few
/// voters respond for a long time, the group needs this member for a majority;
/// then a majority that includes it suffices.
void raft_node::EvaluateStartCheck() {
  if (start_checked_) return;
  const group_configuration& configuration = StartConfiguration();
  std::size_t confirmed = 0;
  for (const member_id& member : start_responses_) {
    if (configuration.IsVoter(member)) ++confirmed;
  }
  const std::size_t self_votes = configuration.IsVoter(self()) ? 1 : 0;
  const std::size_t others = configuration.voter_count() - self_votes;
  const bool majority = others == 0 || confirmed >= others / 2 + 1;
  const bool timed_out =
      last_now_ - started_at_ >= settings_.start_check_timeout;
  start_checked_ = majority || (timed_out && confirmed + self_votes >=
                                                 configuration.quorum());
}

}  // namespace marjoramsill
