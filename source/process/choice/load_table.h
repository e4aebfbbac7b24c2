#ifndef MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_H_
#define MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

#include "process/choice/endpoint_condition.h"
#include "process/choice/load_table_settings.h"
#include "process/choice/placement.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Estimated load of each endpoint of one placement: the last report, plus the
/// requests that this VM has sent since then, minus those that have finished
/// since then.
class load_table {
 public:
  explicit load_table(load_table_settings settings = {});

  /// Replaces the placement `before`, if any, by `table`. Keeps the entries of
  /// endpoints that are in both.
  void Assign(const placement* before, const placement& table);

  /// Sets the load multiple of a new policy version. Takes effect with the next
  /// choice.
  void SetLoadMultiple(double multiple) { settings_.load_multiple = multiple; }
  void SetCondition(endpoint_index index, const endpoint_condition& condition);
  /// Records the number of requests in the engine at `as_of`, including those
  /// of this VM. Ignored if older than the last report.
  void OnReport(endpoint_index index, std::uint32_t requests,
                steady_time as_of);
  void OnSent(endpoint_index index, steady_time now);
  void OnFinished(endpoint_index index, steady_time now);
  /// Recomputes the sums over the endpoints with recent reports, also those
  /// that get no work for now. Call every 100 ms.
  void Tick(steady_time now);

  bool IsFresh(endpoint_index index, steady_time now) const {
    return now < entries_[index].fresh_until;
  }
  bool IsAdmitted(endpoint_index index) const {
    return entries_[index].admitted;
  }
  std::uint32_t Estimate(endpoint_index index) const;
  std::uint32_t OwnInFlight(endpoint_index index) const {
    return entries_[index].own;
  }
  /// Maximum number of requests on the endpoint, including a new one: the load
  /// multiple times its share of the total load, rounded up. The total load
  /// includes the new request.
  std::uint32_t LoadBound(endpoint_index index) const;
  /// The load bound minus a margin for requests of other VMs that no report
  /// shows yet, but at least the endpoint's share of the total load, rounded
  /// up. Requests above this bound are assumed to be queued.
  std::uint32_t SafeLoadBound(endpoint_index index, steady_time now) const;
  /// Estimated load including a new request. If the last report is too old, the
  /// load is assumed to be at least the endpoint's share of the total load,
  /// because an endpoint without reports would look idle.
  std::uint32_t ExpectedLoad(endpoint_index index, steady_time now) const;
  /// Expected wait in seconds per request above the safe bound: the mean time
  /// until the endpoint completes a request.
  double WaitPerExcessRequest(endpoint_index index) const;

 private:
  static constexpr std::size_t kMaxOwnEvents = 16;

  struct own_event {
    steady_time at;
    std::int32_t change = 0;
  };
  struct entry {
    std::uint32_t reported = 0;
    std::uint32_t own = 0;
    std::int32_t since_report = 0;
    std::uint32_t capacity = 1;
    steady_time fresh_until = steady_time::min();
    steady_time reported_at = steady_time::min();
    bool admitted = true;
    bool counted = false;
  };

  /// The most recent requests that this VM sent to one endpoint or saw finish
  /// there. Stored separately, because Choose() does not read it.
  struct own_event_history {
    std::uint8_t next = 0;
    std::array<own_event, kMaxOwnEvents> events{};
  };

  void SumLoads(steady_time now, bool reported_only);
  double ShareOf(endpoint_index index) const;
  std::chrono::microseconds ReportAge(endpoint_index index,
                                      steady_time now) const;
  void RecordOwnEvent(endpoint_index index, std::int32_t change,
                      steady_time now);
  void UpdateTotal(endpoint_index index, std::uint32_t before);

  load_table_settings settings_;
  std::vector<entry> entries_;
  std::vector<own_event_history> histories_;
  std::uint64_t total_load_ = 0;
  std::uint64_t total_capacity_ = 0;
  std::uint64_t own_in_flight_ = 0;
  std::uint32_t finished_ = 0;
  double finish_rate_ = 0;
  double completion_fraction_ = 0;
  steady_time last_tick_ = steady_time::min();
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_H_
