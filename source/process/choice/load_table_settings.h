#ifndef MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_SETTINGS_H_
#define MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

/// Settings of a load_table.
struct load_table_settings {
  /// Maximum ratio of an endpoint's load to the mean load, both relative to
  /// capacity. Set by the policy.
  double load_multiple = 1.25;
  /// Margin for requests of other VMs that no report shows yet, in standard
  /// deviations of the expected change of the load since the report.
  double margin_deviations = 1.5;
  /// Reports older than this do not widen the margin further.
  std::chrono::milliseconds max_report_age{3000};
  /// Reports up to this age are included in the mean load. Reports of other
  /// failure domains arrive tens of seconds late; without them, a failure
  /// domain that has lost endpoints would use its own high load as the mean.
  std::chrono::milliseconds max_report_age_for_mean{60000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_SETTINGS_H_
