#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ACTIONS_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ACTIONS_H_

#include <vector>

#include "process/admission/limit_action.h"
#include "process/admission/outgoing_limit_message.h"

namespace marjoramsill {

/// Decisions and messages that the caller delivers after releasing the lock.
struct limit_actions {
  std::vector<limit_action> decided;
  std::vector<outgoing_limit_message> send;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ACTIONS_H_
