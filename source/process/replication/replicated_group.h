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

/// Hooks of the state machine. They are called under the lock of the group.
struct group_hooks {
  /// Applies a committed command.
  std::function<void(log_index, log_term, std::string_view)> apply;
  /// Returns the state after all applied commands.
  std::function<std::string()> take_snapshot;
  /// Replaces the state. `bytes` is empty for a new group.
  std::function<void(std::string_view)> install_snapshot;
  /// Reads the steady clock; called directly before acting on a lease.
  std::function<steady_time()> clock;
};

enum class proposal_result {
  kCommitted,
  /// Another entry was committed at its index, so the command will never be
  /// applied.
  kLost,
  /// Leadership ended or a snapshot was installed before the proposal was
  /// applied, so its outcome is unknown.
  kUnknown,
};

/// Outcome of a proposal, and the log index it was appended at.
struct proposal_outcome {
  std::uint64_t id = 0;
  proposal_result outcome = proposal_result::kUnknown;
  log_index index;
};

/// Work that the caller must do after unlocking. Writes must be performed in
/// order.
struct group_output {
  std::vector<raft_message> messages;
  std::vector<storage_writes> writes;
  std::vector<proposal_outcome> proposals;
  std::vector<read_outcome> reads;
  std::optional<role_change> role;
  bool stale_disk = false;
};

/// Applies the log of a raft_node to the state machine of one group. Every
/// input must be followed by TakeOutput under the same lock.
class replicated_group {
 public:
  replicated_group(raft_settings settings, raft_start start, group_hooks hooks,
                   random_source random);

  void Tick();
  void Receive(const raft_message& message);
  /// Returns the number of the proposal. Its outcome follows in a later output.
  result<std::uint64_t, propose_error> Propose(std::string command);
  /// Starts a linearizable read and returns its number. When the read is ready,
  /// the state machine reflects every command that was reported as committed
  /// before this call.
  std::uint64_t Read();
  void SyncCompleted(std::uint64_t ticket);
  bool TransferLeadership();
  void Leave();
  /// Replaces the VMs to which join requests are sent.
  void SetPeers(std::vector<vm_id> peers) { node_.SetPeers(std::move(peers)); }
  group_output TakeOutput();

  /// Reads the clock and returns whether this member holds the leader lease
  /// now, that is, may act as the leader without contacting the others.
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
