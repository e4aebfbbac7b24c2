#ifndef MARJORAMSILL_PROCESS_ADMISSION_RANK_SHARES_H_
#define MARJORAMSILL_PROCESS_ADMISSION_RANK_SHARES_H_

#include <array>
#include <optional>

#include "process/admission/admission_types.h"

namespace marjoramsill {

/// Chooses the rank to serve next. The most urgent backlogged rank goes first,
/// except that a less urgent rank with a guaranteed share overtakes it while
/// that rank's credit is not negative. Credit grows by share * cost with every
/// admission and falls by the cost of the rank's own overtaking admissions.
class rank_shares {
 public:
  using rank_flags = std::array<bool, kRankCount>;
  struct choice {
    marjoramsill::rank rank;
    /// The rank is served ahead of a more urgent one.
    bool overtakes;
  };

  void SetShares(const admission_policy& policy);
  std::optional<choice> Choose(const rank_flags& backlogged) const;
  /// `backlogged` is the state before the admission: the ranks with queued
  /// requests.
  void OnAdmitted(const choice& chosen, double cost,
                  const rank_flags& backlogged);
  /// Adjusts the charge for a finished request by `difference`, the actual cost
  /// minus the estimate.
  void OnCostCorrected(const choice& chosen, double difference,
                       const rank_flags& backlogged);
  double share(rank queue_rank) const;

 private:
  std::array<double, kRankCount> share_{};
  std::array<double, kRankCount> credit_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_RANK_SHARES_H_
