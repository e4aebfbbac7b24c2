#ifndef MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_SETTINGS_H_
#define MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

struct load_table_settings {
  /// Policy: highest load over the mean load, both relative to capacity.
  double load_multiple = 1.25;
  /// Margin for work of other VMs that no report shows yet, in standard
  /// deviations of its expected change since the report.
  double margin_deviations = 1.5;
  /// Reports older than this widen the margin no further.
  std::chrono::milliseconds oldest_report{3000};
  /// Reports up to this age count in the mean. Loads of other failure domains
  /// come tens of seconds late, and without them a failure domain that has
  /// lost endpoints takes its own high load for the mean.
  std::chrono::milliseconds mean_report{60000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_SETTINGS_H_
