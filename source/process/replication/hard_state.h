#ifndef MARJORAMSILL_PROCESS_REPLICATION_HARD_STATE_H_
#define MARJORAMSILL_PROCESS_REPLICATION_HARD_STATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/replication/member.h"

namespace marjoramsill {

/// Latest start of a peer, as announced by its start query.
struct known_start {
  member_id member;
  std::uint64_t number = 0;
  /// Random number that identifies that run of the process.
  std::uint64_t run = 0;

  friend bool operator==(const known_start&, const known_start&) = default;
};

/// Durable state of a member apart from its log and snapshot.
struct hard_state {
  log_term term;
  /// Candidate that received this member's vote in `term`.
  std::optional<member_id> voted_for;
  /// Number of starts of this member; raised and synced at each start.
  std::uint64_t starts = 0;
  /// Latest known starts of the other members. A member whose disk has a lower
  /// start count than recorded here has lost durable state.
  std::vector<known_start> known_starts;

  friend bool operator==(const hard_state&, const hard_state&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_HARD_STATE_H_
