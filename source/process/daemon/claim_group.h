#ifndef MARJORAMSILL_PROCESS_DAEMON_CLAIM_GROUP_H_
#define MARJORAMSILL_PROCESS_DAEMON_CLAIM_GROUP_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/claims/claim_group_clock.h"
#include "process/claims/claim_table.h"
#include "process/daemon/group_runner.h"

namespace marjoramsill {

/// State machine of one claim group, with the clock that timestamps its
/// commands. Guarded by the group's lock.
class claim_group {
 public:
  group_machine Machine();
  /// Returns the command of an entry VM with the leader's timestamp, or nullopt
  /// if it cannot be decoded.
  std::optional<std::string> Stamp(std::string_view command) const;
  /// Returns a command that removes expired records, or nullopt if the table is
  /// empty.
  std::optional<std::string> MakeExpiryCommand() const;

 private:
  claim_table table_;
  claim_group_clock clock_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_CLAIM_GROUP_H_
