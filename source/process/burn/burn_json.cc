#include <nlohmann/json.hpp>

#include "process/burn/burn_report.h"

namespace marjoramsill {
namespace {

using nlohmann::json;

constexpr std::array<const char*, kBurnWindowCount> kWindowNames = {
    "5m", "30m", "1h", "6h", "budget"};

json Names(const std::vector<vm_id>& vms) {
  json names = json::array();
  for (const vm_id& vm : vms) names.push_back(vm.value());
  return names;
}

json Counts(const event_counts& counts) {
  json object = json::object();
  for (std::size_t i = 0; i < kServiceEventCount; ++i) {
    const auto event = static_cast<service_event>(i);
    object[std::string(ServiceEventName(event))] = counts.at(i);
  }
  return object;
}

json Series(const burn_row& row) {
  json series = json::array();
  for (const std::optional<double>& burn : row.series) {
    series.push_back(burn ? json(*burn) : json(nullptr));
  }
  return series;
}

json Row(const burn_row& row) {
  json object = {{"rank", RankName(row.rank)},
                 {"objective", row.objective},
                 {"budget_left", row.budget_left},
                 {"alert", AlertName(row.alert)},
                 {"burn_5_min_points", Series(row)}};
  if (row.size) object["size_class"] = SizeClassName(*row.size);
  if (!row.failure_domain.empty()) {
    object["failure_domain"] = row.failure_domain.value();
  }
  for (std::size_t i = 0; i < kBurnWindowCount; ++i) {
    object["burn"][kWindowNames.at(i)] = row.burn.at(i);
    object["counts"][kWindowNames.at(i)] = Counts(row.counts.at(i));
  }
  return object;
}

}  // namespace

std::string BurnReportJson(const burn_report& report) {
  json rows = json::array();
  for (const burn_row& row : report.rows) rows.push_back(Row(row));
  const json document = {{"vms_included", Names(report.included)},
                         {"vms_missing", Names(report.missing)},
                         {"rows", std::move(rows)}};
  // Replaces invalid UTF-8 in names instead of throwing an exception.
  return document.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace marjoramsill
