#ifndef MARJORAMSILL_PROCESS_BURN_BURN_SETTINGS_H_
#define MARJORAMSILL_PROCESS_BURN_BURN_SETTINGS_H_

#include <array>

#include "types/rank.h"

namespace marjoramsill {

/// Objectives and alert thresholds.
struct burn_settings {
  /// Fraction of the requests that must be good, above 0 and below 1, by rank.
  std::array<double, kRankCount> objectives = {0.99, 0.95, 0.90};
  /// Burn rates from which both windows of an alert must burn to raise it, as
  /// multiples of the rate that uses up the budget exactly at the end of its
  /// period. From "The Site Reliability Workbook", chapter 5: 2% of a 30-day
  /// budget in 1 h, 5% in 6 h.
  double page_burn = 14.4;
  double warn_burn = 6;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_BURN_SETTINGS_H_
