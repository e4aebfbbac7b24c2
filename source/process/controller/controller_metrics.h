#ifndef MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_METRICS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "process/controller/evacuation_outcome.h"
#include "process/controller/link_use.h"
#include "process/daemon/metric_registry.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace marjoramsill {

/// Metrics of a control process. Must be used from the thread of the process.
class controller_metrics {
 public:
  controller_metrics();
  ~controller_metrics();
  controller_metrics(const controller_metrics&) = delete;
  controller_metrics& operator=(const controller_metrics&) = delete;

  void CountHeartbeat();
  void CountSubmission(bool accepted);
  /// An order to evacuate a failure domain, or its withdrawal.
  void CountOrder(evacuation_outcome outcome);
  void SetEvacuated(std::size_t domains);
  void CountRead();
  /// Seconds from the announcement of an endpoint's end to its acknowledgement.
  void ObserveEnd(double seconds);
  void SetGroup(bool leads, std::uint64_t term, std::size_t members,
                std::size_t voters);
  void SetDocumentVersion(std::uint64_t version);
  void SetEntries(std::size_t count);
  void SetEndpoints(std::size_t count);
  /// Updates for watchers that waited for the link since the start.
  void SetHeldBack(const std::array<std::uint64_t, kLinkUses>& counts);
  void SetDroppedLines(std::uint64_t count);
  /// All metrics in the Prometheus text format.
  std::string Text() const { return registry_.Text(); }

 private:
  metric_registry registry_;
  prometheus::Counter* heartbeats_ = nullptr;
  prometheus::Counter* accepted_ = nullptr;
  prometheus::Counter* not_accepted_ = nullptr;
  /// Indexed by evacuation_outcome.
  std::array<prometheus::Counter*, kEvacuationOutcomeCount> orders_{};
  prometheus::Gauge* evacuated_ = nullptr;
  prometheus::Counter* reads_ = nullptr;
  prometheus::Histogram* end_time_ = nullptr;
  prometheus::Gauge* leads_ = nullptr;
  prometheus::Gauge* term_ = nullptr;
  prometheus::Gauge* members_ = nullptr;
  prometheus::Gauge* voters_ = nullptr;
  prometheus::Gauge* document_version_ = nullptr;
  prometheus::Gauge* entries_ = nullptr;
  prometheus::Gauge* endpoints_ = nullptr;
  std::array<prometheus::Counter*, kLinkUses> held_back_{};
  prometheus::Gauge* dropped_lines_ = nullptr;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_METRICS_H_
