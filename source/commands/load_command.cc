#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "commands/command.h"
#include "commands/load_run.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

double Percentile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values.at(static_cast<std::size_t>(quantile * last));
}

load_plan PlanOf(const options::variables_map& values) {
  load_plan plan;
  plan.callers = Split(values["callers"].as<std::string>());
  plan.run_reports = Split(values["run-reports"].as<std::string>());
  plan.workspaces = Split(values["workspaces"].as<std::string>());
  plan.model = values["model"].as<std::string>();
  plan.service = values["service"].as<std::string>();
  plan.rate = values["rate"].as<double>();
  plan.duration = std::chrono::seconds(values["seconds"].as<std::uint32_t>());
  plan.chats = values["chats"].as<std::uint32_t>();
  plan.tokens = values["tokens"].as<std::uint32_t>();
  plan.urgent_share = values["urgent"].as<double>();
  plan.background_share = values["background"].as<double>();
  plan.booking_share = values["bookings"].as<double>();
  plan.deadline =
      std::chrono::milliseconds(values["deadline-ms"].as<std::uint32_t>());
  plan.seed = values["seed"].as<std::uint64_t>();
  return plan;
}

void PrintText(const load_result& result) {
  std::cout << std::fixed << std::setprecision(1);
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const load_rank_result& counts = result.ranks.at(i);
    std::cout << "rank=" << RankName(static_cast<rank>(i))
              << " sent=" << counts.sent << " whole=" << counts.complete
              << " refused=" << counts.refused << " failed=" << counts.failed
              << " lost=" << counts.lost
              << " first_p50_ms=" << Percentile(counts.first_output_ms, 0.5)
              << " first_p99_ms=" << Percentile(counts.first_output_ms, 0.99)
              << " total_p99_ms=" << Percentile(counts.total_ms, 0.99) << "\n";
  }
  const double reuse = result.prompt_tokens == 0
                           ? 0
                           : static_cast<double>(result.cached_tokens) /
                                 static_cast<double>(result.prompt_tokens);
  std::cout << "bookings=" << result.bookings
            << " bookings_run=" << result.bookings_run
            << " doubled=" << result.doubled
            << " ran_after_not_run=" << result.ran_after_not_run
            << " missing_run_reports=" << result.missing_run_reports
            << "\ncrossed=" << result.crossed
            << " truncated=" << result.truncated
            << " prefix_reuse=" << std::setprecision(3) << reuse << "\n";
}

void PrintJson(const load_result& result) {
  nlohmann::ordered_json out;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const load_rank_result& counts = result.ranks.at(i);
    out["ranks"][std::string(RankName(static_cast<rank>(i)))] = {
        {"sent", counts.sent},
        {"whole", counts.complete},
        {"refused", counts.refused},
        {"failed", counts.failed},
        {"lost", counts.lost},
        {"first_p50_ms", Percentile(counts.first_output_ms, 0.5)},
        {"first_p99_ms", Percentile(counts.first_output_ms, 0.99)},
        {"total_p99_ms", Percentile(counts.total_ms, 0.99)}};
  }
  out["bookings"] = result.bookings;
  out["bookings_run"] = result.bookings_run;
  out["doubled"] = result.doubled;
  out["ran_after_not_run"] = result.ran_after_not_run;
  out["missing_run_reports"] = result.missing_run_reports;
  out["crossed"] = result.crossed;
  out["truncated"] = result.truncated;
  out["prompt_tokens"] = result.prompt_tokens;
  out["cached_tokens"] = result.cached_tokens;
  std::cout << out.dump() << "\n";
}

exit_code Load(const options::variables_map& values) {
  const load_plan plan = PlanOf(values);
  const bool usable = !plan.callers.empty() && !plan.workspaces.empty() &&
                      plan.rate > 0 && plan.chats > 0;
  if (!usable) {
    std::cerr << "marjoramsill load: --callers, --workspaces, --rate and "
                 "--chats must not be empty or 0\n";
    return exit_code::kUsage;
  }
  load_run run(plan);
  const load_result result = run.Run();
  if (values["json"].as<bool>()) {
    PrintJson(result);
  } else {
    PrintText(result);
  }
  return result.clean() ? exit_code::kSuccess : exit_code::kFailure;
}

void Describe(options::options_description& description) {
  auto add = description.add_options();
  add("callers", options::value<std::string>()->required(),
      "caller addresses of entry VMs, IP:PORT separated by commas");
  add("workspaces", options::value<std::string>()->required(),
      "workspaces, separated by commas");
  add("model", options::value<std::string>()->required(),
      "model that the chats request; must be served by fake endpoints");
  add("service", options::value<std::string>()->default_value(""),
      "service that receives the non-repeatable calls");
  add("run-reports", options::value<std::string>()->default_value(""),
      "fake endpoints to query for how often each call ran");
  add("rate", options::value<double>()->default_value(50),
      "requests per second");
  add("seconds", options::value<std::uint32_t>()->default_value(10),
      "duration of the run in seconds");
  add("chats", options::value<std::uint32_t>()->default_value(200),
      "number of different chats");
  add("tokens", options::value<std::uint32_t>()->default_value(16),
      "tokens of each response");
  add("urgent", options::value<double>()->default_value(0.2),
      "share of requests of rank urgent, 0 to 1");
  add("background", options::value<double>()->default_value(0.2),
      "share of requests of rank background, 0 to 1");
  add("bookings", options::value<double>()->default_value(0.1),
      "share of requests that are non-repeatable calls, 0 to 1");
  add("deadline-ms", options::value<std::uint32_t>()->default_value(10'000),
      "deadline of each request in milliseconds");
  add("seed", options::value<std::uint64_t>()->default_value(1),
      "seed of the random choices");
  add("json", options::bool_switch(), "print the result as JSON");
}

}  // namespace

command LoadCommand() {
  command load;
  load.name = "load";
  load.summary = "Send load to a running deployment and verify every response";
  load.options = Describe;
  load.run = Load;
  return load;
}

}  // namespace marjoramsill
