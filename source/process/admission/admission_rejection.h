#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_REJECTION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_REJECTION_H_

#include <chrono>

#include "process/admission/rejection_kind.h"

namespace marjoramsill {

/// A final rejection. The request has not run.
struct admission_rejection {
  rejection_kind kind = rejection_kind::kDeadline;
  /// Suggested delay before a retry. Jittered; its mean is the estimated wait
  /// in the queue.
  std::chrono::microseconds retry_after{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_REJECTION_H_
