#ifndef MARJORAMSILL_PROCESS_BURN_BURN_ROW_H_
#define MARJORAMSILL_PROCESS_BURN_BURN_ROW_H_

#include <array>
#include <optional>

#include "process/burn/alert_state.h"
#include "process/burn/burn_window.h"
#include "process/burn/counter_key.h"
#include "process/burn/service_event.h"
#include "process/burn/size_class.h"
#include "types/ids.h"
#include "types/rank.h"

namespace marjoramsill {

/// One line of the report.
struct burn_row {
  marjoramsill::rank rank = rank::kUrgent;
  /// Empty for all failure domains together.
  failure_domain_id failure_domain;
  /// None for both size classes together.
  std::optional<size_class> size;
  double objective = 0;
  /// Part of the error budget that is left; negative when overspent.
  double budget_left = 1;
  /// By burn_window; 0 without requests.
  std::array<double, kBurnWindowCount> burn{};
  alert_state alert = alert_state::kQuiet;
  /// By burn_window.
  std::array<event_counts, kBurnWindowCount> counts{};
  /// Burn per point, none without requests. Newest last.
  std::array<std::optional<double>, kSeriesPoints> series{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_BURN_ROW_H_
