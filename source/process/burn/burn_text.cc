#include <algorithm>
#include <cstdio>
#include <string>

#include "process/burn/burn_report.h"

namespace marjoramsill {
namespace {

std::string List(const std::vector<vm_id>& vms) {
  std::string text;
  for (const vm_id& vm : vms) text += " " + vm.value();
  return vms.empty() ? " none" : text;
}

template <class... Values>
std::string Format(const char* format, Values... values) {
  std::string text(256, '\0');
  const int size = std::snprintf(text.data(), text.size(), format, values...);
  text.resize(std::min(text.size() - 1, static_cast<std::size_t>(size)));
  return text;
}

std::string Line(const burn_row& row) {
  const auto burn = [&row](burn_window window) {
    return row.burn.at(static_cast<std::size_t>(window));
  };
  return Format("%-34s %8.2f%% %8.1f%% %8.2f %8.2f %8.2f %8.2f  %s\n",
                BurnRowName(row).c_str(), row.objective * 100,
                row.budget_left * 100, burn(burn_window::k5Min),
                burn(burn_window::k1Hour), burn(burn_window::k30Min),
                burn(burn_window::k6Hours),
                std::string(AlertName(row.alert)).c_str());
}

std::string Causes(const burn_row& row) {
  std::string text = BurnRowName(row) + ":";
  const event_counts& counts =
      row.counts.at(static_cast<std::size_t>(burn_window::k6Hours));
  for (std::size_t i = 0; i < kServiceEventCount; ++i) {
    const auto event = static_cast<service_event>(i);
    if (counts.at(i) == 0) continue;
    text += Format("  %s=%llu", std::string(ServiceEventName(event)).c_str(),
                   static_cast<unsigned long long>(counts.at(i)));  // NOLINT
  }
  return text + "\n";
}

}  // namespace

std::string BurnReportText(const burn_report& report) {
  std::string text = "VMs included:" + List(report.included) +
                     "\nVMs missing:" + List(report.missing) + "\n\n";
  text += Format("%-34s %9s %9s %8s %8s %8s %8s  %s\n", "", "objective",
                 "budget", "5 min", "1 h", "30 min", "6 h", "alert");
  for (const burn_row& row : report.rows) text += Line(row);
  text += "\nOutcomes of the last 6 h\n";
  for (const burn_row& row : report.rows) {
    if (!row.size && row.failure_domain.empty()) text += Causes(row);
  }
  return text;
}

}  // namespace marjoramsill
