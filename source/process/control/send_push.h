#ifndef MARJORAMSILL_PROCESS_CONTROL_SEND_PUSH_H_
#define MARJORAMSILL_PROCESS_CONTROL_SEND_PUSH_H_

#include "process/control/change_push.h"
#include "types/ids.h"

namespace marjoramsill {

/// Sends a change to a child in the relay tree.
struct send_push {
  vm_id to;
  change_push push;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_SEND_PUSH_H_
