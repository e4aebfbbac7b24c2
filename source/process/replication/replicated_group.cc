#include "process/replication/replicated_group.h"

#include <utility>

namespace marjoramsill {

replicated_group::replicated_group(raft_settings settings, raft_start start,
                                   group_hooks hooks, random_source random)
    : hooks_(std::move(hooks)),
      node_(settings, std::move(start), std::move(random), hooks_.clock()) {}

void replicated_group::Tick() { node_.Tick(hooks_.clock()); }

void replicated_group::Receive(const raft_message& message) {
  node_.Receive(message, hooks_.clock());
}

result<std::uint64_t, propose_error> replicated_group::Propose(
    std::string command) {
  auto position = node_.Propose(std::move(command), hooks_.clock());
  if (!position) return failure(position.error());
  const std::uint64_t id = next_id_++;
  proposals_[position.value().index] = {id, position.value().term};
  return id;
}

std::uint64_t replicated_group::Read() {
  const std::uint64_t id = next_id_++;
  node_.RequestRead(id, hooks_.clock());
  return id;
}

void replicated_group::SyncCompleted(std::uint64_t ticket) {
  node_.SyncCompleted(ticket, hooks_.clock());
}

bool replicated_group::TransferLeadership() {
  return node_.TransferLeadership(hooks_.clock());
}

void replicated_group::Leave() { node_.Leave(hooks_.clock()); }

bool replicated_group::HoldsLease() const {
  const std::optional<steady_time> end = node_.LeaseEnd();
  return end && hooks_.clock() < *end;
}

group_output replicated_group::TakeOutput() {
  // SnapshotTaken makes the node produce further writes.
  for (;;) {
    raft_output output = node_.TakeOutput();
    const bool take_snapshot = output.take_snapshot;
    ApplyOutput(output);
    if (!take_snapshot) break;
    node_.SnapshotTaken(applied_, hooks_.take_snapshot(), hooks_.clock());
  }
  return std::exchange(output_, group_output{});
}

void replicated_group::ApplyOutput(raft_output& output) {
  if (output.installed) {
    const snapshot& installed = *output.installed;
    const std::string empty;
    hooks_.install_snapshot(installed.data ? *installed.data : empty);
    applied_ = installed.index;
    // The outcome of proposals up to the snapshot's index is unknown here.
    FailProposals(proposals_.upper_bound(applied_));
  }
  for (const log_entry& entry : output.committed) ApplyEntry(entry);
  if (output.role) {
    output_.role = output.role;
    if (output.role->role != raft_role::kLeader) {
      FailProposals(proposals_.end());
    }
  }
  for (raft_message& message : output.messages) {
    output_.messages.push_back(std::move(message));
  }
  if (output.writes) output_.writes.push_back(std::move(*output.writes));
  output_.reads.insert(output_.reads.end(), output.reads.begin(),
                       output.reads.end());
  output_.stale_disk = output_.stale_disk || output.stale_disk;
}

void replicated_group::ApplyEntry(const log_entry& entry) {
  applied_ = entry.index;
  if (entry.kind == entry_kind::kCommand) {
    hooks_.apply(entry.index, entry.term, entry.payload);
  }
  auto it = proposals_.find(entry.index);
  if (it == proposals_.end()) return;
  const bool same = it->second.term == entry.term;
  output_.proposals.push_back(
      {it->second.id,
       same ? proposal_result::kCommitted : proposal_result::kLost,
       entry.index});
  proposals_.erase(it);
}

/// Reports the proposals before `end` as unknown.
void replicated_group::FailProposals(proposal_map::iterator end) {
  for (auto it = proposals_.begin(); it != end; it = proposals_.erase(it)) {
    output_.proposals.push_back(
        {it->second.id, proposal_result::kUnknown, it->first});
  }
}

}  // namespace marjoramsill
