#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_REJECTION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_REJECTION_H_

#include <chrono>

#include "process/admission/rejection_kind.h"

namespace marjoramsill {

/// A final outcome: the request has not run.
struct admission_rejection {
  rejection_kind kind = rejection_kind::kDeadline;
  /// Jittered; its mean follows the backlog.
  std::chrono::microseconds retry_after{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_REJECTION_H_
