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

/// One row of the report.
struct burn_row {
  marjoramsill::rank rank = rank::kUrgent;
  /// Empty if the row covers all failure domains.
  failure_domain_id failure_domain;
  /// Empty if the row covers both size classes.
  std::optional<size_class> size;
  double objective = 0;
  /// Remaining fraction of the error budget; negative if overspent.
  double budget_left = 1;
  /// Burn rates, indexed by burn_window; 0 without requests.
  std::array<double, kBurnWindowCount> burn{};
  alert_state alert = alert_state::kNone;
  /// Event counts, indexed by burn_window.
  std::array<event_counts, kBurnWindowCount> counts{};
  /// Burn rate per point, newest last; empty for points without requests.
  std::array<std::optional<double>, kSeriesPoints> series{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_BURN_ROW_H_
