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

/// Load of each endpoint of one placement: the last report plus the work that
/// this VM has sent, and less the work that it has seen finish, since then.
class load_table {
 public:
  explicit load_table(load_table_settings settings = {});

  /// Starts anew for this placement; entries of endpoints that stay are kept.
  void Assign(const placement* before, const placement& table);

  /// A new policy version; takes effect with the next choice.
  void SetLoadMultiple(double multiple) { settings_.load_multiple = multiple; }
  void SetCondition(endpoint_index index, const endpoint_condition& condition);
  /// Requests in the engine at `as_of`, those of this VM included.
  void OnReport(endpoint_index index, std::uint32_t requests,
                steady_time as_of);
  void OnSent(endpoint_index index, steady_time now);
  void OnFinished(endpoint_index index, steady_time now);
  /// Recomputes the sums over the usable endpoints with recent reports; call
  /// every 100 ms.
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
  /// Requests that the endpoint may hold, a new one included: its share of
  /// the multiple of the mean, rounded up, where the mean counts the new one.
  std::uint32_t Bound(endpoint_index index) const;
  /// The bound less the margin, but at least the share of the mean, rounded
  /// up; work above this costs queueing on some VM's view.
  std::uint32_t SafeBound(endpoint_index index, steady_time now) const;
  /// Estimate with a new request; a report that is too old counts as at least
  /// the mean, because an endpoint that nobody has reported looks idle.
  std::uint32_t Expected(endpoint_index index, steady_time now) const;
  /// Expected wait for each request above the safe bound, in seconds: the
  /// time until the endpoint ends one request.
  double SecondsPerRequest(endpoint_index index) const;

 private:
  static constexpr std::size_t kEvents = 16;

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

  /// Latest own events of one endpoint, apart from what a choice reads.
  struct own_history {
    std::uint8_t next = 0;
    std::array<own_event, kEvents> events{};
  };

  void Sum(steady_time now, bool reported_only);
  double ShareOf(endpoint_index index) const;
  std::chrono::microseconds ReportAge(endpoint_index index,
                                      steady_time now) const;
  void Change(endpoint_index index, std::int32_t change, steady_time now);
  void Recount(endpoint_index index, std::uint32_t before);

  load_table_settings settings_;
  std::vector<entry> entries_;
  std::vector<own_history> histories_;
  std::uint64_t total_load_ = 0;
  std::uint64_t total_capacity_ = 0;
  std::uint64_t own_in_flight_ = 0;
  std::uint32_t finished_ = 0;
  double finish_rate_ = 0;
  double turnover_ = 0;
  steady_time last_tick_ = steady_time::min();
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_LOAD_TABLE_H_
