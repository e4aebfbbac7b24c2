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

struct role_change {
  raft_role role = raft_role::kFollower;
  log_term term;
  std::optional<member_id> leader;

  friend bool operator==(const role_change&, const role_change&) = default;
};

struct read_outcome {
  std::uint64_t id = 0;
  /// False: this member stopped leading; the read must be sent elsewhere.
  bool ready = false;
};

/// What the caller does after an input, outside its lock. Every message may
/// be sent immediately: those that promise durability are held back by the
/// node until the sync is reported.
struct raft_output {
  std::vector<raft_message> messages;
  /// Set when something has to be written and synced.
  std::optional<storage_writes> writes;
  /// State machine: first install the snapshot, then apply the entries.
  std::optional<snapshot> installed;
  std::vector<log_entry> committed;
  /// The state machine shall hand over a snapshot of all applied entries.
  bool take_snapshot = false;
  std::vector<read_outcome> reads;
  std::optional<role_change> role;
  /// This disk is older than what the group knows of it. The member must not
  /// go on; its data folder has to be emptied, after which it joins anew.
  bool stale_disk = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_OUTPUT_H_
