#ifndef MARJORAMSILL_PROCESS_DAEMON_PROCESS_METRICS_H_
#define MARJORAMSILL_PROCESS_DAEMON_PROCESS_METRICS_H_

#include <array>
#include <string>

#include "process/burn/service_counters.h"
#include "process/daemon/metric_registry.h"
#include "types/rank.h"

namespace prometheus {
class Counter;
class Gauge;
}  // namespace prometheus

namespace marjoramsill {

/// Metrics of this process in Prometheus' text format. Label values come from
/// fixed sets: there is one series per rank and outcome and none per chat or
/// workspace, which would be unbounded.
class process_metrics {
 public:
  process_metrics();
  ~process_metrics();

  void CountRequest(rank of, service_event event);
  void SetControlBytes(std::uint64_t bytes);
  /// Bytes of HTTP/2 frames sent to other VMs.
  void SetPeerBytes(std::uint64_t bytes);
  void SetPolicyVersion(std::uint64_t version);
  void SetOpenRequests(std::size_t count);
  /// The Prometheus text format.
  std::string Text() const { return registry_.Text(); }

 private:
  metric_registry registry_;
  std::array<std::array<prometheus::Counter*, kServiceEventCount>, kRankCount>
      requests_{};
  prometheus::Gauge* control_bytes_ = nullptr;
  prometheus::Gauge* peer_bytes_ = nullptr;
  prometheus::Gauge* policy_version_ = nullptr;
  prometheus::Gauge* open_requests_ = nullptr;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_PROCESS_METRICS_H_
