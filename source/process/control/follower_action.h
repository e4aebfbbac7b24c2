#ifndef MARJORAMSILL_PROCESS_CONTROL_FOLLOWER_ACTION_H_
#define MARJORAMSILL_PROCESS_CONTROL_FOLLOWER_ACTION_H_

#include <memory>
#include <variant>
#include <vector>

#include "process/control/distribution_messages.h"
#include "types/ids.h"
#include "version/policy_snapshot.h"
#include "version/section_error.h"

namespace marjoramsill {

struct send_push {
  vm_id to;
  change_push push;
};

struct send_fetch {
  vm_id to;
  fetch_request request;
};

struct send_reply {
  vm_id to;
  fetch_reply reply;
};

/// Puts a snapshot in force. A VM with a disk first persists the snapshot's
/// version and gives it as `follower_start::floor` after a restart.
struct install_version {
  std::shared_ptr<const policy_snapshot> snapshot;
  /// Sections whose previous content stays in force; to be logged.
  std::vector<section_error> errors;
};

/// Answers `OnWorkspaceWanted`. An `install_version` with the workspace comes
/// before it when the workspace exists.
struct workspace_answer {
  workspace_id id;
  bool exists = false;
};

using follower_action = std::variant<send_push, send_fetch, send_reply,
                                     install_version, workspace_answer>;
using follower_actions = std::vector<follower_action>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_FOLLOWER_ACTION_H_
