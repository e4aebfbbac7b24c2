#ifndef MARJORAMSILL_PROCESS_CONTROL_FOLLOWER_ACTION_H_
#define MARJORAMSILL_PROCESS_CONTROL_FOLLOWER_ACTION_H_

#include <variant>
#include <vector>

#include "process/control/install_version.h"
#include "process/control/send_fetch.h"
#include "process/control/send_push.h"
#include "process/control/send_response.h"
#include "process/control/workspace_response.h"

namespace marjoramsill {

/// What the owner of a `version_follower` has to do, in this order.
using follower_action = std::variant<send_push, send_fetch, send_response,
                                     install_version, workspace_response>;
using follower_actions = std::vector<follower_action>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_FOLLOWER_ACTION_H_
