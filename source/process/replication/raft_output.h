#ifndef MARJORAMSILL_PROCESS_REPLICATION_RAFT_OUTPUT_H_
#define MARJORAMSILL_PROCESS_REPLICATION_RAFT_OUTPUT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/replication/log_entry.h"
#include "process/replication/raft_message.h"
#include "process/replication/snapshot.h"
#include "process/replication/storage_writes.h"
#include "types/steady_time.h"

namespace marjoramsill {

enum class raft_role { kFollower, kPreCandidate, kCandidate, kLeader };

/// Role, term and known leader of a member after a change of any of them.
struct role_change {
  raft_role role = raft_role::kFollower;
  log_term term;
  std::optional<member_id> leader;

  friend bool operator==(const role_change&, const role_change&) = default;
};

/// Outcome of the read that was requested with this id.
struct read_outcome {
  std::uint64_t id = 0;
  /// False if this member is not the leader any more; the read must then be
  /// sent to the new leader.
  bool ready = false;
};

/// Work that the caller must do after an input, without holding its lock. Every
/// message may be sent immediately: the node holds back those that depend on a
/// write until the sync of that write is reported.
struct raft_output {
  std::vector<raft_message> messages;
  /// Set if there is something to write and sync.
  std::optional<storage_writes> writes;
  /// Snapshot to install in the state machine before `committed` is applied.
  std::optional<snapshot> installed;
  std::vector<log_entry> committed;
  /// Requests a snapshot of the state machine after all applied entries.
  bool take_snapshot = false;
  std::vector<read_outcome> reads;
  std::optional<role_change> role;
  /// The state on this disk is older than what the group knows of this member.
  /// The member must stop. After its data folder is emptied, it can join as a
  /// new member.
  bool stale_disk = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_OUTPUT_H_
