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
  /// Members that the operator declares lost for good. Together with the
  /// survivors below they must be exactly the configuration.
  std::vector<member_id> lost;
  std::vector<member_id> survivors;
  /// Last index and term of each survivor, in the order of `survivors`, as
  /// printed by the command on its VM.
  std::vector<std::pair<log_term, log_index>> positions;
  /// The operator accepts that commands which only the lost members held are
  /// gone.
  bool accept_loss = false;
};

enum class recovery_error {
  kNotConfirmed,
  kNoGroup,
  kNotAVoter,
  /// Lost and surviving members are not exactly the configuration.
  kMembersDiffer,
  /// A majority survives; the group repairs itself.
  kMajorityAlive,
  /// Another survivor has a newer log; recover there.
  kNotNewest,
};

/// Term and index of the last entry; the operator compares the survivors.
std::pair<log_term, log_index> LastPosition(const stored_state& stored);

/// Offline, on one stopped survivor only: returns the writes that make this
/// member the only voter of the group, in a new term. All other members empty
/// their data folders and join.
result<storage_writes, recovery_error> RecoverWithoutMajority(
    const stored_state& stored, const recovery_request& request);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_MAJORITY_RECOVERY_H_
