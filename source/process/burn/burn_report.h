#ifndef MARJORAMSILL_PROCESS_BURN_BURN_REPORT_H_
#define MARJORAMSILL_PROCESS_BURN_BURN_REPORT_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/burn/service_counters.h"

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

enum class alert_state { kQuiet, kWarn, kPage };

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

struct burn_report {
  burn_settings settings;
  std::vector<vm_id> included;
  /// VMs whose counters could not be had: the report does not cover them.
  std::vector<vm_id> missing;
  /// Per rank: all, by size class, then by failure domain.
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
/// One page without references to other files.
std::string BurnReportHtml(const burn_report& report);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_BURN_REPORT_H_
