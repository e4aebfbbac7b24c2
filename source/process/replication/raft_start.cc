#include <algorithm>
#include <utility>

#include "process/replication/raft_node.h"

namespace marjoramsill {

/// Only the first VM of the list founds the group, and only after every other
/// one has said in this run that it knows of none. The others take the
/// initial configuration from a leader, so all agree on it.
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
  // Another disk asks: what an earlier one was told must not found a group.
  if (nonce_holder_ != message.from) {
    nonce_holder_ = message.from;
    nonce_ = random_() | 1U;
  }
  Send(message.from, bootstrap_reply{!IsEmpty(), start_.domain, nonce_});
}

void raft_node::OnBootstrapReply(const raft_message& message,
                                 const bootstrap_reply& reply,
                                 steady_time now) {
  const std::vector<vm_id>& voters = start_.bootstrap_voters;
  if (!IsEmpty() || voters.empty() || voters.front() != self().vm) return;
  if (reply.has_group) group_seen_elsewhere_ = true;
  if (group_seen_elsewhere_) return;
  if (std::find(voters.begin(), voters.end(), message.from.vm) ==
      voters.end()) {
    return;
  }
  bootstrap_replies_[message.from.vm] = {message.from, reply.domain, true};
  bootstrap_term_ = std::max(bootstrap_term_, message.term);
  if (bootstrap_replies_.size() + 1 == voters.size()) Bootstrap(now);
}

void raft_node::Bootstrap(steady_time now) {
  snapshot initial;
  initial.index = log_index(1);
  // Greater than every term in which an earlier disk of this VM can have led:
  // its late messages must not match the new log.
  initial.term = std::max(bootstrap_term_, term()).Next();
  initial.configuration.Set({self(), start_.domain, true});
  for (const auto& [vm, member] : bootstrap_replies_) {
    initial.configuration.Set(member);
  }
  state_.term = initial.term;
  state_.voted_for.reset();
  WriteState();
  InstallSnapshot(std::move(initial), now);
  election_deadline_ = now;
}

void raft_node::SendStartQueries(steady_time now) {
  // A leader is heard although the voters known here do not answer: all of
  // them were replaced while this member was away. The group has its majority
  // without this member, which joins anew.
  if (now - started_at_ > settings_.remove_after && HeardFromLeader(now)) {
    stale_disk_ = true;
    return;
  }
  NoteStartReplies();
  if (start_checked_ || now < next_start_query_) return;
  next_start_query_ = now + settings_.heartbeat_interval;
  for (const group_member& member : configuration_.members) {
    if (!member.voter || member.id == self()) continue;
    SendWhenDurable(member.id, start_query{state_.starts, run_});
  }
}

void raft_node::OnStartQuery(const raft_message& message,
                             const start_query& query) {
  start_reply reply{query.run, false, log_index()};
  auto known = std::find_if(
      state_.known_starts.begin(), state_.known_starts.end(),
      [&](const known_start& item) { return item.member == message.from; });
  if (known == state_.known_starts.end()) {
    known = state_.known_starts.insert(known, {message.from, 0, 0});
  }
  const bool repeated =
      known->number == query.starts && known->run == query.run;
  reply.stale = !repeated && known->number >= query.starts;
  if (!repeated && !reply.stale) {
    known->number = query.starts;
    known->run = query.run;
    ForgetRemovedStarts();
    WriteState();
  }
  const peer_progress* progress = ProgressOf(message.from);
  if (role_ == raft_role::kLeader && progress != nullptr) {
    reply.known_index = progress->match;
  }
  SendWhenDurable(message.from, reply);
}

/// Keeps the list bounded: a removed identity never votes again unless it is
/// added anew, and then it starts as a standby.
void raft_node::ForgetRemovedStarts() {
  constexpr std::size_t kMost = 64;
  if (state_.known_starts.size() <= kMost) return;
  std::erase_if(state_.known_starts, [&](const known_start& item) {
    return configuration_.Find(item.member) == nullptr;
  });
}

void raft_node::OnStartReply(const raft_message& message,
                             const start_reply& reply) {
  if (start_checked_ || reply.run != run_) return;
  // A deposed leader may have counted entries that were replaced since.
  const bool lost_entries =
      message.term >= term() && reply.known_index > log_.last_index();
  if (reply.stale || lost_entries) {
    stale_disk_ = true;
    return;
  }
  start_replies_[message.from] = true;
  NoteStartReplies();
}

/// The check is complete when a majority of the other voters knows of this
/// start. This member does not count itself: an older disk has forgotten what
/// it knew. So any two complete checks have a voter in common that notices.
/// When too few voters answer for a long time the group needs this member to
/// reach its own majority; then that majority has to suffice.
void raft_node::NoteStartReplies() {
  if (start_checked_) return;
  std::size_t confirmed = 0;
  for (const auto& [member, reply] : start_replies_) {
    if (configuration_.IsVoter(member)) ++confirmed;
  }
  const std::size_t self_votes = configuration_.IsVoter(self()) ? 1 : 0;
  const std::size_t others = configuration_.voter_count() - self_votes;
  const bool majority = others == 0 || confirmed >= others / 2 + 1;
  const bool patient =
      last_now_ - started_at_ >= settings_.start_check_patience;
  start_checked_ = majority || (patient && confirmed + self_votes >=
                                               configuration_.quorum());
}

}  // namespace marjoramsill
