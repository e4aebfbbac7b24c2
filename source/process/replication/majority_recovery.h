#ifndef MARJORAMSILL_PROCESS_REPLICATION_MAJORITY_RECOVERY_H_
#define MARJORAMSILL_PROCESS_REPLICATION_MAJORITY_RECOVERY_H_

#include <utility>
#include <vector>

#include "process/replication/storage_writes.h"
#include "types/result.h"

namespace marjoramsill {

/// What an operator confirms before a group is recovered without a majority.
struct recovery_request {
  member_id self;
  /// Members that the operator declares permanently lost. `lost` and
  /// `survivors` together must be exactly the members of the configuration.
  std::vector<member_id> lost;
  std::vector<member_id> survivors;
  /// Last index and term of each survivor, in the order of `survivors`, as
  /// printed by the command on its VM.
  std::vector<std::pair<log_term, log_index>> positions;
  /// The operator accepts the loss of commands that only lost members stored.
  bool accept_loss = false;
};

enum class recovery_error {
  kNotConfirmed,
  kNoGroup,
  kNotAVoter,
  /// Lost and surviving members are not exactly the configuration.
  kMembersDiffer,
  /// A majority survives, so the group can repair itself.
  kQuorumAlive,
  /// Another survivor has a more up-to-date log and must be used instead.
  kNotNewest,
};

/// Term and index of the last entry, by which the operator selects the survivor
/// with the most up-to-date log.
std::pair<log_term, log_index> LastPosition(const stored_state& stored);

/// Returns the writes that make this member the only member of the group, in a
/// new term. For offline use on exactly one stopped survivor. Afterwards all
/// other members must empty their data folders and join again.
result<storage_writes, recovery_error> RecoverWithoutMajority(
    const stored_state& stored, const recovery_request& request);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_MAJORITY_RECOVERY_H_
