#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SEND_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SEND_H_

#include "process/admission/limit_message.h"
#include "types/ids.h"

namespace marjoramsill {

/// A limit message and the VM to which it is sent.
struct limit_send {
  vm_id to;
  limit_message message;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SEND_H_
