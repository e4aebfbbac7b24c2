#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_POLICY_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_POLICY_H_

#include <array>
#include <chrono>

#include "process/admission/rank_admission.h"
#include "types/rank.h"

namespace marjoramsill {

/// Policy of one admission_queue.
struct admission_policy {
  /// Indexed by rank. The sum of the shares must be below 1.
  std::array<rank_admission, kRankCount> ranks = {
      rank_admission{}, rank_admission{.share = 0.25},
      rank_admission{.share = 0.05}};
  /// How long the capacity may be zero before queued and new requests are
  /// rejected.
  std::chrono::microseconds no_capacity_grace = std::chrono::seconds(2);
  /// Bounds of the mean of admission_rejection::retry_after.
  std::chrono::microseconds min_retry_after = std::chrono::seconds(1);
  std::chrono::microseconds max_retry_after = std::chrono::seconds(120);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_POLICY_H_
