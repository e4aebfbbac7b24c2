#ifndef MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_RESPONSE_H_

#include "types/ids.h"

namespace marjoramsill {

/// Result of `OnWorkspaceRequested`. If the workspace exists, an
/// `install_version` that contains it precedes this action.
struct workspace_response {
  workspace_id id;
  bool exists = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_RESPONSE_H_
