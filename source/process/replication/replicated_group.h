#ifndef MARJORAMSILL_PROCESS_REPLICATION_REPLICATED_GROUP_H_
#define MARJORAMSILL_PROCESS_REPLICATION_REPLICATED_GROUP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "process/replication/raft_node.h"

namespace marjoramsill {

/// Hooks of the state machine; called under the lock of the group.
struct group_hooks {
  /// Applies a committed command.
  std::function<void(log_index, log_term, std::string_view)> apply;
  /// Returns the state after all applied commands.
  std::function<std::string()> take_snapshot;
  /// Replaces the state. The bytes are empty for a new group.
  std::function<void(std::string_view)> install_snapshot;
  /// Reads the steady clock; called directly before acting on a lease.
  std::function<steady_time()> clock;
};

enum class proposal_result {
  kCommitted,
  /// Another entry was committed in its place: certain not to be applied.
  kLost,
  /// Leadership ended first: the outcome is not known here.
  kUnknown,
};

struct proposal_outcome {
  std::uint64_t id = 0;
  proposal_result outcome = proposal_result::kUnknown;
  log_index index;
};

/// What the caller does after unlocking. Writes must be executed in order.
struct group_output {
  std::vector<raft_message> messages;
  std::vector<storage_writes> writes;
  std::vector<proposal_outcome> proposals;
  std::vector<read_outcome> reads;
  std::optional<role_change> role;
  bool stale_disk = false;
};

/// Runs the state machine of one group on the log of a raft_node. Every input
/// is followed by TakeOutput under the same lock.
class replicated_group {
 public:
  replicated_group(raft_settings settings, raft_start start, group_hooks hooks,
                   random_source random);

  void Tick();
  void Receive(const raft_message& message);
  /// Returns the proposal's number; its outcome follows in an output.
  result<std::uint64_t, propose_error> Propose(std::string command);
  /// Returns the read's number; when it is ready, the state machine reflects
  /// every command whose proposal was answered before this call.
  std::uint64_t Read();
  void SyncCompleted(std::uint64_t ticket);
  bool TransferLeadership();
  void Leave();
  /// Replaces the VMs that are asked for membership.
  void SetPeers(std::vector<vm_id> peers) { node_.SetPeers(std::move(peers)); }
  group_output TakeOutput();

  /// Reads the clock and tells whether this member may act as the leader now.
  bool HoldsLease() const;
  const raft_node& node() const { return node_; }
  log_index applied_index() const { return applied_; }

 private:
  struct pending_proposal {
    std::uint64_t id = 0;
    log_term term;
  };
  using proposal_map = std::map<log_index, pending_proposal>;
  void ApplyOutput(raft_output& output);
  void ApplyEntry(const log_entry& entry);
  void FailProposals(proposal_map::iterator end);

  group_hooks hooks_;
  raft_node node_;
  log_index applied_;
  std::uint64_t next_id_ = 1;
  proposal_map proposals_;
  group_output output_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_REPLICATED_GROUP_H_
