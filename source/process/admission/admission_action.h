#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_H_

#include <vector>

#include "process/admission/admission_action_kind.h"
#include "process/admission/admission_ids.h"
#include "process/admission/admission_rejection.h"

namespace marjoramsill {

/// What the caller does after it has released the shard's lock.
struct admission_action {
  admission_action_kind kind = admission_action_kind::kAdmit;
  request_handle request;
  admission_ticket ticket;
  /// Meaningful for kReject only; the ticket is then no longer valid.
  admission_rejection rejection;
};

/// Reused by the caller, so that appending does not allocate.
using admission_actions = std::vector<admission_action>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_H_
