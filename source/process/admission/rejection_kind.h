#ifndef MARJORAMSILL_PROCESS_ADMISSION_REJECTION_KIND_H_
#define MARJORAMSILL_PROCESS_ADMISSION_REJECTION_KIND_H_

namespace marjoramsill {

/// Reason for rejecting a request.
enum class rejection_kind {
  /// The deadline is earlier than the end of the estimated wait plus the
  /// service time.
  kDeadline,
  kWorkspaceQueueFull,
  kRankQueueFull,
  kNoCapacity,
  /// The cost or the weight is not above 0.
  kInvalid,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_REJECTION_KIND_H_
