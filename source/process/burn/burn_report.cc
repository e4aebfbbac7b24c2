#include "process/burn/burn_report.h"

#include <set>
#include <utility>

namespace marjoramsill {
namespace {

constexpr std::array<std::string_view, kServiceEventCount> kEventNames = {
    "good",
    "late first token",
    "slow between tokens",
    "refused: deadline",
    "refused: queue full",
    "refused: no capacity",
    "refused: limit",
    "failed: endpoint",
    "failed: timeout",
    "failed: truncated"};

/// Fraction of the requests that were bad; 0 without requests.
double BadFraction(std::uint64_t good, std::uint64_t bad) {
  if (good + bad == 0) return 0;
  return static_cast<double>(bad) / static_cast<double>(good + bad);
}

double BadFraction(const event_counts& counts) {
  std::uint64_t all = 0;
  for (const std::uint64_t count : counts) all += count;
  const std::uint64_t good =
      counts.at(static_cast<std::size_t>(service_event::kGood));
  return BadFraction(good, all - good);
}

double Burn(const burn_row& row, burn_window window) {
  return row.burn.at(static_cast<std::size_t>(window));
}

// The long window ensures that the burn is significant, the short window that
// it is still going on.
alert_state Alert(const burn_settings& settings, const burn_row& row) {
  if (Burn(row, burn_window::k5Min) >= settings.page_burn &&
      Burn(row, burn_window::k1Hour) >= settings.page_burn) {
    return alert_state::kPage;
  }
  if (Burn(row, burn_window::k30Min) >= settings.warn_burn &&
      Burn(row, burn_window::k6Hours) >= settings.warn_burn) {
    return alert_state::kWarn;
  }
  return alert_state::kNone;
}

bool Includes(const burn_row& row, const counter_key& key) {
  if (key.rank != row.rank) return false;
  if (row.size && key.size != *row.size) return false;
  return row.failure_domain.empty() || key.failure_domain == row.failure_domain;
}

void Fill(const burn_settings& settings, const counter_snapshot& merged,
          burn_row& row) {
  counter_snapshot sums;
  const counter_key all{.rank = row.rank, .failure_domain = {}, .size = {}};
  for (const auto& [key, values] : merged) {
    if (Includes(row, key)) AddSnapshot({{all, values}}, sums);
  }
  const counter_values& sum = sums[all];
  row.objective = settings.objectives.at(static_cast<std::size_t>(row.rank));
  const double allowed = 1 - row.objective;
  row.counts = sum.windows;
  for (std::size_t i = 0; i < kBurnWindowCount; ++i) {
    row.burn.at(i) = BadFraction(row.counts.at(i)) / allowed;
  }
  row.budget_left = 1 - Burn(row, burn_window::kBudget);
  for (std::size_t i = 0; i < kSeriesPoints; ++i) {
    const series_point& point = sum.series.at(i);
    if (point.good + point.bad > 0) {
      row.series.at(i) = BadFraction(point.good, point.bad) / allowed;
    }
  }
  row.alert = Alert(settings, row);
}

}  // namespace

burn_report MakeBurnReport(const burn_settings& settings,
                           const counter_snapshot& merged,
                           std::vector<vm_id> included,
                           std::vector<vm_id> missing) {
  burn_report report{.settings = settings,
                     .included = std::move(included),
                     .missing = std::move(missing),
                     .rows = {}};
  std::set<failure_domain_id> domains;
  for (const auto& [key, values] : merged) domains.insert(key.failure_domain);
  for (std::size_t i = 0; i < kRankCount; ++i) {
    burn_row row;
    row.rank = static_cast<rank>(i);
    report.rows.push_back(row);
    for (const size_class size : {size_class::kSmall, size_class::kLarge}) {
      row.size = size;
      report.rows.push_back(row);
    }
    row.size.reset();
    for (const failure_domain_id& domain : domains) {
      row.failure_domain = domain;
      report.rows.push_back(row);
    }
  }
  for (burn_row& row : report.rows) Fill(settings, merged, row);
  return report;
}

std::string_view ServiceEventName(service_event event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

std::string_view SizeClassName(size_class size) {
  return size == size_class::kSmall ? "small" : "large";
}

std::string_view AlertName(alert_state state) {
  switch (state) {
    case alert_state::kPage:
      return "page";
    case alert_state::kWarn:
      return "warn";
    case alert_state::kNone:
      break;
  }
  return "quiet";
}

std::string BurnRowName(const burn_row& row) {
  std::string name(RankName(row.rank));
  if (row.size) {
    name += ", ";
    name += SizeClassName(*row.size);
    name += " workspaces";
  }
  if (!row.failure_domain.empty()) name += ", " + row.failure_domain.value();
  return name;
}

}  // namespace marjoramsill
