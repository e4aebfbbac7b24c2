#ifndef MARJORAMSILL_PROCESS_CONTROL_SEND_REPLY_H_
#define MARJORAMSILL_PROCESS_CONTROL_SEND_REPLY_H_

#include "process/control/fetch_response.h"
#include "types/ids.h"

namespace marjoramsill {

/// Sends the response to a peer's `policy/fetch`.
struct send_reply {
  vm_id to;
  fetch_response reply;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_SEND_REPLY_H_
