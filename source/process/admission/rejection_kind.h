#ifndef MARJORAMSILL_PROCESS_ADMISSION_REJECTION_KIND_H_
#define MARJORAMSILL_PROCESS_ADMISSION_REJECTION_KIND_H_

namespace marjoramsill {

enum class rejection_kind {
  /// The deadline is nearer than the estimated wait plus the service time.
  kDeadline,
  kWorkspaceQueueFull,
  kRankQueueFull,
  kNoCapacity,
  /// Cost or weight is not above 0.
  kInvalid,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_REJECTION_KIND_H_
