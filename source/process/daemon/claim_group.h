#ifndef MARJORAMSILL_PROCESS_DAEMON_CLAIM_GROUP_H_
#define MARJORAMSILL_PROCESS_DAEMON_CLAIM_GROUP_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/claims/claim_group_clock.h"
#include "process/claims/claim_table.h"
#include "process/daemon/group_runner.h"

namespace marjoramsill {

/// State machine of one claim group with the clock that stamps its commands.
/// Guarded by the group's lock.
class claim_group {
 public:
  group_machine Machine();
  /// The command of an entry VM as the leader appends it; nothing when it does
  /// not decode.
  std::optional<std::string> Stamp(std::string_view command) const;
  /// A command that removes expired records; nothing while there are none.
  std::optional<std::string> MakeExpiry() const;

 private:
  claim_table table_;
  claim_group_clock clock_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_CLAIM_GROUP_H_
