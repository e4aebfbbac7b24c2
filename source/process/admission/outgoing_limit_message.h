#ifndef MARJORAMSILL_PROCESS_ADMISSION_OUTGOING_LIMIT_MESSAGE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_OUTGOING_LIMIT_MESSAGE_H_

#include "process/admission/limit_message.h"
#include "types/ids.h"

namespace marjoramsill {

/// A limit message and the VM to which it is sent.
struct outgoing_limit_message {
  vm_id to;
  limit_message message;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_OUTGOING_LIMIT_MESSAGE_H_
