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

/// Returns a cost between 0.2 and 3 times the mean; most are below the mean.
double RandomCost(std::mt19937_64& random) {
  std::exponential_distribution<double> distribution(1);
  return kMeanCost * (0.2 + std::min(distribution(random), 2.8) * 0.855);
}

std::vector<simulated_request> Arrivals(const simulation_settings& settings,
                                        const std::vector<load>& loads) {
  std::vector<simulated_request> requests;
  std::uint64_t seed = settings.seed;
  for (const load& stream : loads) {
    // Each load has its own generator, so that adding a load does not change
    // the others.
    std::mt19937_64 random(seed++);
    std::exponential_distribution<double> gap(stream.fraction *
                                              Capacity(settings) / kMeanCost);
    for (double arrival = stream.start_s + gap(random); arrival < stream.end_s;
         arrival += gap(random)) {
      requests.push_back(
          {.rank = stream.rank,
           .workspace = stream.first_workspace + random() % stream.count,
           .arrival = arrival,
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
    // The cost bound is never reached, so that only the concurrency limits the
    // load.
    const admission_capacity vm_capacity{.cost = cost_units(1'000'000'000),
                                         .concurrency = settings.slots_per_vm};
    for (std::size_t i = 0; i < settings.vms; ++i) {
      vms_.push_back(MakeScheduler(name, vm_capacity, settings.seed + i));
    }
    request_vm_.resize(requests_.size());
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
           settings_.first_token_fraction * Service(number);
  }
  /// A request with a late first token is as useless as one that ends late, so
  /// the offered deadline is the earlier of both.
  double Deadline(std::uint64_t number) const {
    const simulated_request& request = requests_[number];
    const auto rank = static_cast<std::size_t>(request.rank);
    const double by_first_token = settings_.first_token_target_s.at(rank) -
                                  FirstTokenService(number) + Service(number);
    return request.arrival +
           std::min(settings_.deadline_s.at(rank), by_first_token);
  }
  void Offer(std::uint64_t number, double now) {
    const simulated_request& request = requests_[number];
    const std::size_t vm = random_() % vms_.size();
    request_vm_[number] = vm;
    vms_[vm]->Offer(
        {.request = request_handle(number),
         .rank = request.rank,
         .workspace = workspace_handle(request.workspace),
         .weight = 1,
         .cost = cost_units(static_cast<std::uint64_t>(request.cost)),
         .deadline = Time(Deadline(number)),
         .expected_service = Time(Service(number)) - steady_time()},
        Time(now), decisions_);
    Apply(vm, now);
  }
  void Finish(double now) {
    const std::uint64_t number = ends_.begin()->second;
    ends_.erase(ends_.begin());
    vms_[request_vm_[number]]->Finish(number, Time(now), decisions_);
    Apply(request_vm_[number], now);
  }
  void Apply(std::size_t /*vm*/, double now) {
    for (const scheduler::decision& decision : decisions_) {
      RecordDecision(decision, now);
    }
    decisions_.clear();
  }
  void RecordDecision(const scheduler::decision& decision, double now) {
    simulated_request& request = requests_[decision.request];
    request.admitted = decision.admitted;
    request.wait = now - request.arrival;
    request.end = now;
    if (!request.admitted) return;
    const double service = Service(decision.request);
    request.end = now + service;
    request.first_token = request.wait + FirstTokenService(decision.request);
    const auto rank = static_cast<std::size_t>(request.rank);
    request.good =
        request.first_token <= settings_.first_token_target_s.at(rank) &&
        request.end <= request.arrival + settings_.deadline_s.at(rank);
    ends_.emplace(request.end, decision.request);
  }

  simulation_settings settings_;
  std::vector<simulated_request> requests_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<scheduler>> vms_;
  std::vector<std::size_t> request_vm_;
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

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(index, 1) - 1];
}

}  // namespace marjoramsill
