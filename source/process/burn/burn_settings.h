#ifndef MARJORAMSILL_PROCESS_BURN_BURN_SETTINGS_H_
#define MARJORAMSILL_PROCESS_BURN_BURN_SETTINGS_H_

#include <array>

#include "types/rank.h"

namespace marjoramsill {

struct burn_settings {
  /// Part of the requests that must be good, above 0 and below 1, by rank.
  std::array<double, kRankCount> objectives = {0.99, 0.95, 0.90};
  /// Alert when both windows burn at least this fast (multiples of the rate
  /// that uses up the budget exactly at the end of its period). From "The Site
  /// Reliability Workbook", chapter 5: 2% of a 30-day budget in 1 h, 5% in 6 h.
  double page_burn = 14.4;
  double warn_burn = 6;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_BURN_SETTINGS_H_
