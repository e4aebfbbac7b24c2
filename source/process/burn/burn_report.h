#ifndef MARJORAMSILL_PROCESS_BURN_BURN_REPORT_H_
#define MARJORAMSILL_PROCESS_BURN_BURN_REPORT_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/burn/alert_state.h"
#include "process/burn/burn_row.h"
#include "process/burn/burn_settings.h"
#include "process/burn/service_counters.h"

namespace marjoramsill {

/// Burn rates of the fleet's error budgets.
struct burn_report {
  burn_settings settings;
  std::vector<vm_id> included;
  /// VMs whose counters could not be fetched. The report does not include them.
  std::vector<vm_id> missing;
  /// For each rank: one row for all requests, then rows by size class and by
  /// failure domain.
  std::vector<burn_row> rows;
};

burn_report MakeBurnReport(const burn_settings& settings,
                           const counter_snapshot& merged,
                           std::vector<vm_id> included,
                           std::vector<vm_id> missing);

std::string_view ServiceEventName(service_event event);
std::string_view SizeClassName(size_class size);
std::string_view AlertName(alert_state state);
/// For example "urgent, small workspaces" or "standard, perth".
std::string BurnRowName(const burn_row& row);

std::string BurnReportText(const burn_report& report);
std::string BurnReportJson(const burn_report& report);
/// A self-contained page without references to other files.
std::string BurnReportHtml(const burn_report& report);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_BURN_REPORT_H_
