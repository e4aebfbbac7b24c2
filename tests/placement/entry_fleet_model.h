#ifndef MARJORAMSILL_TESTS_PLACEMENT_ENTRY_FLEET_MODEL_H_
#define MARJORAMSILL_TESTS_PLACEMENT_ENTRY_FLEET_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "engine_model.h"
#include "process/directory/load_report_store.h"
#include "process/directory/progress_store.h"
#include "process/entry/pool_table.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Simulates entry VMs that place the requests of one pool in virtual time.
/// Each uses the production pool_table, and they exchange load reports and what
/// they have in progress through the stores of a control process.
class entry_fleet_model {
 public:
  struct parameters {
    int entry_count = 0;
    int engine_count = 0;
    std::uint32_t slots = 16;
    double requests_per_s = 0;
    int session_count = 0;
    /// 1: all sessions are equally frequent. The greater the value, the more
    /// frequent are sessions with low numbers.
    double session_skew = 1;
    /// Mean number of requests that arrive together at one entry VM.
    double mean_burst = 1;
    /// Time from the first to the last token of a short response.
    std::chrono::milliseconds short_response{300};
    /// Interval between exchanges of load reports; 0: no exchange.
    std::chrono::milliseconds exchange_interval{0};
    /// Engines that name a request rate in every response, and that rate.
    int limited_engines = 0;
    double limit_per_s = 0;
    std::uint32_t seed = 1;
    /// Duration of work at an engine relative to the usual one; null: engines
    /// are equally fast and compute any number of prompts at once.
    std::function<double(std::size_t engine, steady_time now,
                         std::uint32_t load)>
        duration;
    /// Engines state the duration in their reports.
    bool states_duration = false;
    /// Entry VMs estimate speed from what they measure.
    bool learns_speed = false;
    /// Requests of short sessions are late if their first event comes later.
    std::chrono::milliseconds urgent_target{400};
  };
  /// Counts of one span of simulated time.
  struct span_counts {
    int arrivals = 0;
    /// Requests that were sent to an engine above the load bound.
    int above_bound = 0;
    /// Requests for which no engine was chosen.
    int refused = 0;
    /// Those of them while an engine without a limit had room for two more.
    int refused_with_room = 0;
    /// Requests of short sessions with a first event, and the late ones.
    int urgent = 0;
    int late_urgent = 0;
    /// Choices of an engine while its work took 1.5 times as long, or more.
    int at_slow = 0;
    /// Choices by number of the engine.
    std::vector<int> by_engine;
  };

  explicit entry_fleet_model(const parameters& chosen);

  /// Simulates the next span of requests.
  span_counts Run(std::chrono::milliseconds span);
  /// Prefix tokens that all engines have computed.
  std::uint64_t computed_tokens() const;

 private:
  void Schedule(steady_time when, std::function<void()> action);
  void RunUntil(steady_time end);
  void ScheduleArrival();
  /// Requests that arrive together at one entry VM.
  void PlaceBurst();
  void PlaceRequest(pool_table& entry);
  void ExchangeLoads();
  void ExchangeProgress();
  std::chrono::microseconds ElapsedSince(steady_time then) const {
    return std::chrono::duration_cast<std::chrono::microseconds>(now_ - then);
  }
  /// Most requests that an engine may hold when another one arrives.
  double Bound() const;
  bool IsLimited(std::size_t engine) const;
  void CountRefusal();

  const parameters parameters_;
  std::mt19937_64 random_;
  steady_time now_{std::chrono::seconds(1'000)};
  std::multimap<steady_time, std::function<void()>> events_;
  std::deque<engine_model> engines_;
  std::vector<std::unique_ptr<pool_table>> entries_;
  load_report_store board_;
  progress_store progress_;
  std::vector<endpoint_digest> cursors_;
  span_counts counts_;
  std::uint64_t next_request_ = 1;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_PLACEMENT_ENTRY_FLEET_MODEL_H_
