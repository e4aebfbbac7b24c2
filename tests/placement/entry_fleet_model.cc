#include "entry_fleet_model.h"

#include <cmath>
#include <string>
#include <utility>

#include "process/placement/endpoint_pool.h"
#include "process/placement/request_demand.h"
#include "process/placement/stated_terms.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// The load bound that is checked, as a multiple of the mean load plus a number
/// of requests.
constexpr double kBoundFactor = 2;
constexpr double kBoundAllowance = 3;
constexpr int kDomainCount = 3;
/// Relative duration of work from which an engine counts as slow.
constexpr double kSlow = 1.5;

const model_id& PoolId() {
  static const model_id id("chat");
  return id;
}

endpoint_record MakeRecord(int number) {
  endpoint_record record;
  record.id = endpoint_id("e" + std::to_string(number));
  record.pool = PoolId();
  record.address = "10.0.0." + std::to_string(number + 1) + ":8080";
  record.domain =
      failure_domain_id("d" + std::to_string(number % kDomainCount));
  record.slots = 16;
  record.incarnation = incarnation_number(1);
  record.sequence = 1;
  return record;
}

placement_settings Settings(int entry, bool learns_speed) {
  placement_settings settings;
  settings.learn_endpoint_speed = learns_speed;
  settings.domain =
      failure_domain_id("d" + std::to_string(entry % kDomainCount));
  return settings;
}

}  // namespace

entry_fleet_model::entry_fleet_model(const parameters& chosen)
    : parameters_(chosen),
      random_(chosen.seed),
      cursors_(static_cast<std::size_t>(chosen.entry_count)) {
  std::vector<endpoint_record> records;
  for (int i = 0; i < chosen.engine_count; ++i) {
    engines_.emplace_back(chosen.slots,
                          [this](steady_time when, std::function<void()> act) {
                            Schedule(when, std::move(act));
                          });
    records.push_back(MakeRecord(i));
    if (!chosen.duration) continue;
    const auto number = static_cast<std::size_t>(i);
    engines_.back().SetDuration(
        [this, number](steady_time when, std::uint32_t load) {
          return parameters_.duration(number, when, load);
        },
        chosen.states_duration);
  }
  for (int i = 0; i < chosen.entry_count; ++i) {
    entries_.push_back(std::make_unique<pool_table>(
        Settings(i, chosen.learns_speed), retry_settings(),
        [this] { return random_(); }, [](const endpoint_record&) {}));
    entries_.back()->Pool(PoolId())->SetCacheCapacity(token_count(240'000));
    entries_.back()->Merge(records, now_);
    fleet_position position;
    position.entry_count = static_cast<std::uint32_t>(chosen.entry_count);
    position.entry_index = static_cast<std::uint32_t>(i);
    entries_.back()->SetPosition(position);
  }
  ScheduleArrival();
  if (chosen.exchange_interval.count() > 0) ExchangeLoads();
}

void entry_fleet_model::Schedule(steady_time when,
                                 std::function<void()> action) {
  events_.emplace(when, std::move(action));
}

void entry_fleet_model::RunUntil(steady_time end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key();
    event.mapped()();
  }
  now_ = end;
}

entry_fleet_model::span_counts entry_fleet_model::Run(milliseconds span) {
  counts_ = {};
  counts_.by_engine.resize(engines_.size());
  RunUntil(now_ + span);
  return counts_;
}

void entry_fleet_model::ScheduleArrival() {
  std::exponential_distribution<double> gap(parameters_.requests_per_s /
                                            parameters_.mean_burst);
  const auto delay = std::chrono::duration<double>(gap(random_));
  Schedule(now_ + std::chrono::duration_cast<std::chrono::microseconds>(delay),
           [this] {
             PlaceBurst();
             ScheduleArrival();
           });
}

void entry_fleet_model::PlaceBurst() {
  constexpr milliseconds kGap{5};
  pool_table& entry = *entries_[random_() % entries_.size()];
  std::geometric_distribution<int> more(1 / parameters_.mean_burst);
  const int count = parameters_.mean_burst > 1 ? 1 + more(random_) : 1;
  for (int i = 0; i < count; ++i) {
    Schedule(now_ + i * kGap, [this, &entry] { PlaceRequest(entry); });
  }
}

void entry_fleet_model::PlaceRequest(pool_table& entry) {
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto session = static_cast<std::uint64_t>(
      parameters_.session_count *
      std::pow(uniform(random_), parameters_.session_skew));
  // A third of the sessions have long prompts and long responses.
  const bool is_long = session % 3 == 0;
  const std::uint64_t tokens = is_long ? 10'000 : 1'500;
  request_demand demand;
  demand.parts = {{1, token_count(500)},
                  {1'000 + session, token_count(tokens)},
                  {1'000'000 + next_request_++, token_count(300)}};
  demand.prompt = token_count(tokens + 800);

  endpoint_pool& pool = *entry.Pool(PoolId());
  const auto choice = pool.Choose(demand, {}, now_);
  pool.RecordDemand(demand);
  if (!choice) {
    CountRefusal();
    return;
  }
  const endpoint_id id = choice->endpoint->record().id;
  choice->endpoint->OnCallStart(now_);
  const auto number = static_cast<std::size_t>(std::stoi(id.value().substr(1)));
  engine_model& engine = engines_[number];
  ++counts_.arrivals;
  if (number < counts_.by_engine.size()) ++counts_.by_engine[number];
  if (parameters_.duration &&
      parameters_.duration(number, now_, engine.load()) >= kSlow) {
    ++counts_.at_slow;
  }
  if (engine.load() > Bound()) ++counts_.above_bound;

  engine_model::job job;
  job.prefix = session;
  job.prefix_tokens = tokens;
  job.response_time =
      is_long ? milliseconds(1'600) : parameters_.short_response;
  job.on_first_token = [this, &pool, id, number, demand, is_long, sent = now_,
                        usual_ms =
                            choice->usual_ms](const load_report& report) {
    if (!is_long) {
      ++counts_.urgent;
      if (now_ - sent > parameters_.urgent_target) ++counts_.late_urgent;
    }
    endpoint_estimate& endpoint = *pool.Find(id);
    if (IsLimited(number)) {
      endpoint.terms().Record({.limit = parameters_.limit_per_s}, false, 0,
                              now_);
    }
    endpoint.RecordLoad(report, now_);
    pool.RecordWork(endpoint,
                    {work_kind::kFirstEvent, is_long ? "long" : "short",
                     ElapsedSince(sent), usual_ms},
                    now_);
    endpoint.prefixes().Record(demand.parts);
  };
  job.on_end = [this, &pool, id, started = now_] {
    pool.Find(id)->OnCallEnd(now_);
    pool.RecordDuration(ElapsedSince(started));
  };
  engine.Submit(std::move(job), now_);
}

double entry_fleet_model::Bound() const {
  double total = 0;
  for (const engine_model& each : engines_) total += each.load();
  const double mean = total / static_cast<double>(engines_.size());
  return kBoundFactor * mean + kBoundAllowance;
}

bool entry_fleet_model::IsLimited(std::size_t engine) const {
  return engine < static_cast<std::size_t>(parameters_.limited_engines);
}

void entry_fleet_model::CountRefusal() {
  ++counts_.refused;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (IsLimited(i) || engines_[i].load() + 2 > Bound()) continue;
    ++counts_.refused_with_room;
    return;
  }
}

void entry_fleet_model::ExchangeLoads() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    board_.Record(entries_[i]->TakeLoads(now_),
                  load_report_store::source::kEntry, now_);
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const auto loads = board_.Collect(cursors_[i], false, now_);
    // A control process holds each response for the exchange interval.
    Schedule(
        now_ + parameters_.exchange_interval, [this, i, loads, then = now_] {
          std::vector<shared_load> aged = loads;
          for (shared_load& each : aged) {
            each.age += std::chrono::duration_cast<milliseconds>(now_ - then);
          }
          entries_[i]->MergeLoads(aged, now_);
        });
  }
  board_.Expire(now_);
  ExchangeProgress();
  Schedule(now_ + parameters_.exchange_interval, [this] { ExchangeLoads(); });
}

void entry_fleet_model::ExchangeProgress() {
  const auto vm = [](std::size_t i) { return vm_id(std::to_string(i)); };
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    progress_.RecordEntry(vm(i), entries_[i]->Progress(now_), now_);
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Schedule(now_ + parameters_.exchange_interval,
             [this, i, others = progress_.SumWithout(vm(i))] {
               entries_[i]->SetOthersProgress(others, now_);
             });
  }
}

std::uint64_t entry_fleet_model::computed_tokens() const {
  std::uint64_t total = 0;
  for (const engine_model& engine : engines_) total += engine.computed_tokens();
  return total;
}

}  // namespace marjoramsill
