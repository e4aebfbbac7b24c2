#ifndef MARJORAMSILL_PROCESS_ADMISSION_RANK_SHARES_H_
#define MARJORAMSILL_PROCESS_ADMISSION_RANK_SHARES_H_

#include <array>
#include <optional>

#include "process/admission/admission_types.h"

namespace marjoramsill {

/// Chooses the rank to serve next. The most urgent waiting rank goes first,
/// except that a rank with a kept share overtakes while its credit is not
/// negative. Credit grows by share * cost with every admission and falls by
/// the cost of the rank's own overtaking admissions.
class rank_shares {
 public:
  using flags = std::array<bool, kRankCount>;
  struct choice {
    marjoramsill::rank rank;
    /// The rank overtakes a more urgent one.
    bool kept;
  };

  void SetShares(const admission_policy& policy);
  std::optional<choice> Choose(const flags& backlogged) const;
  /// `backlogged` is the state before the admission.
  void Admitted(const choice& of, double cost, const flags& backlogged);
  /// Corrects the charge of an ended request by `difference`, the cost really
  /// used minus the estimate.
  void Corrected(const choice& of, double difference, const flags& backlogged);
  double share(rank of) const;

 private:
  void Move(const choice& of, double cost, const flags& backlogged);

  std::array<double, kRankCount> share_{};
  std::array<double, kRankCount> credit_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_RANK_SHARES_H_
