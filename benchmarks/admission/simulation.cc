#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>

#include "schedulers.h"

namespace marjoramsill {
namespace {

constexpr double kMeanCost = 500;
constexpr double kTickSeconds = 0.01;

steady_time Time(double seconds) {
  return steady_time(
      std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

/// Costs between 0.2 and 3 times the mean, most below the mean.
double RandomCost(std::mt19937_64& random) {
  std::exponential_distribution<double> part(1);
  return kMeanCost * (0.2 + std::min(part(random), 2.8) * 0.855);
}

std::vector<simulated_request> Arrivals(const simulation_settings& settings,
                                        const std::vector<load>& loads) {
  std::vector<simulated_request> requests;
  std::uint64_t seed = settings.seed;
  for (const load& of : loads) {
    // A generator per load: adding a load does not change the others.
    std::mt19937_64 random(seed++);
    std::exponential_distribution<double> gap(of.part * Capacity(settings) /
                                              kMeanCost);
    for (double at = of.from_s + gap(random); at < of.to_s; at += gap(random)) {
      requests.push_back({.rank = of.rank,
                          .workspace = of.first_workspace + random() % of.count,
                          .arrival = at,
                          .cost = RandomCost(random)});
    }
  }
  std::stable_sort(requests.begin(), requests.end(),
                   [](const auto& left, const auto& right) {
                     return left.arrival < right.arrival;
                   });
  return requests;
}

class simulation {
 public:
  simulation(const simulation_settings& settings, const std::string& name,
             const std::vector<load>& loads)
      : settings_(settings),
        requests_(Arrivals(settings, loads)),
        random_(settings.seed + 1000) {
    // Concurrency is what binds: the cost bound is out of reach.
    const admission_capacity part{.cost = cost_units(1'000'000'000),
                                  .concurrency = settings.slots_per_vm};
    for (std::size_t i = 0; i < settings.vms; ++i) {
      vms_.push_back(MakeScheduler(name, part, settings.seed + i));
    }
    placed_.resize(requests_.size());
  }

  std::vector<simulated_request> Run() {
    std::size_t next = 0;
    double tick = 0;
    while (next < requests_.size() || !ends_.empty()) {
      const double arrival =
          next < requests_.size() ? requests_[next].arrival : 1e9;
      const double end = ends_.empty() ? 1e9 : ends_.begin()->first;
      const double now = std::min({arrival, end, tick});
      if (now == tick) {
        tick += kTickSeconds;
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
          vms_[vm]->Tick(Time(now), decisions_);
          Apply(vm, now);
        }
      } else if (now == end) {
        Finish(now);
      } else {
        Offer(next++, now);
      }
    }
    return std::move(requests_);
  }

 private:
  double Service(std::uint64_t number) const {
    return requests_[number].cost / settings_.slot_rate;
  }
  double FirstTokenService(std::uint64_t number) const {
    return settings_.first_token_fixed_s +
           settings_.first_token_part * Service(number);
  }
  /// A request whose first token would be late is of no more use than one that
  /// ends late: the deadline given is the tighter of both.
  double Deadline(std::uint64_t number) const {
    const simulated_request& of = requests_[number];
    const auto rank = static_cast<std::size_t>(of.rank);
    const double by_first_token = settings_.first_token_target_s.at(rank) -
                                  FirstTokenService(number) + Service(number);
    return of.arrival + std::min(settings_.deadline_s.at(rank), by_first_token);
  }
  void Offer(std::uint64_t number, double now) {
    const simulated_request& of = requests_[number];
    const std::size_t vm = random_() % vms_.size();
    placed_[number] = vm;
    vms_[vm]->Offer({.request = request_handle(number),
                     .rank = of.rank,
                     .workspace = workspace_handle(of.workspace),
                     .weight = 1,
                     .cost = cost_units(static_cast<std::uint64_t>(of.cost)),
                     .deadline = Time(Deadline(number)),
                     .expected_service = Time(Service(number)) - steady_time()},
                    Time(now), decisions_);
    Apply(vm, now);
  }
  void Finish(double now) {
    const std::uint64_t number = ends_.begin()->second;
    ends_.erase(ends_.begin());
    vms_[placed_[number]]->Finish(number, Time(now), decisions_);
    Apply(placed_[number], now);
  }
  void Apply(std::size_t /*vm*/, double now) {
    for (const scheduler::decision& decision : decisions_) {
      Decide(decision, now);
    }
    decisions_.clear();
  }
  void Decide(const scheduler::decision& decision, double now) {
    simulated_request& of = requests_[decision.request];
    of.admitted = decision.admitted;
    of.wait = now - of.arrival;
    of.end = now;
    if (!of.admitted) return;
    const double service = Service(decision.request);
    of.end = now + service;
    of.first_token = of.wait + FirstTokenService(decision.request);
    const auto rank = static_cast<std::size_t>(of.rank);
    of.good = of.first_token <= settings_.first_token_target_s.at(rank) &&
              of.end <= of.arrival + settings_.deadline_s.at(rank);
    ends_.emplace(of.end, decision.request);
  }

  simulation_settings settings_;
  std::vector<simulated_request> requests_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<scheduler>> vms_;
  std::vector<std::size_t> placed_;
  std::multimap<double, std::uint64_t> ends_;
  std::vector<scheduler::decision> decisions_;
};

}  // namespace

double Capacity(const simulation_settings& settings) {
  return settings.slot_rate * settings.slots_per_vm *
         static_cast<double>(settings.vms);
}

std::vector<simulated_request> Simulate(const simulation_settings& settings,
                                        const std::string& scheduler_name,
                                        const std::vector<load>& loads) {
  return simulation(settings, scheduler_name, loads).Run();
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(
      std::ceil(part * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(index, 1) - 1];
}

}  // namespace marjoramsill
