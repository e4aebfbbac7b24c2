#ifndef MARJORAMSILL_PROCESS_CONTROL_SEND_REPLY_H_
#define MARJORAMSILL_PROCESS_CONTROL_SEND_REPLY_H_

#include "process/control/fetch_reply.h"
#include "types/ids.h"

namespace marjoramsill {

struct send_reply {
  vm_id to;
  fetch_reply reply;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_SEND_REPLY_H_
