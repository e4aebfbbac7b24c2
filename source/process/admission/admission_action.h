#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_H_

#include <vector>

#include "process/admission/admission_action_kind.h"
#include "process/admission/admission_ids.h"
#include "process/admission/admission_rejection.h"

namespace marjoramsill {

/// An outcome that the caller delivers after releasing the shard's lock.
struct admission_action {
  admission_action_kind kind = admission_action_kind::kAdmit;
  request_handle request;
  admission_ticket ticket;
  /// Set for kReject only. The ticket of a rejected request is no longer valid.
  admission_rejection rejection;
};

/// The caller reuses the vector, so that appending does not allocate.
using admission_actions = std::vector<admission_action>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_H_
