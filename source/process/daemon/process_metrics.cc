#include "process/daemon/process_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "process/burn/burn_report.h"

namespace marjoramsill {

process_metrics::process_metrics() {
  auto& family = registry_.AddCounters("marjoramsill_requests_total",
                                       "Ended requests by rank and outcome");
  for (std::size_t i = 0; i < kRankCount; ++i) {
    for (std::size_t k = 0; k < kServiceEventCount; ++k) {
      const auto event = static_cast<service_event>(k);
      requests_.at(i).at(k) =
          &family.Add({{"rank", std::string(RankName(static_cast<rank>(i)))},
                       {"outcome", std::string(ServiceEventName(event))}});
    }
  }
  control_bytes_ = registry_.AddGauge("marjoramsill_control_sent_bytes",
                                      "Bytes sent for membership and probes");
  peer_bytes_ = registry_.AddGauge("marjoramsill_peer_sent_bytes",
                                   "Bytes of HTTP/2 frames sent to other VMs");
  policy_version_ = registry_.AddGauge("marjoramsill_policy_version",
                                       "Document version in force");
  open_requests_ = registry_.AddGauge("marjoramsill_open_requests",
                                      "Requests whose answer has not ended");
}

process_metrics::~process_metrics() = default;

void process_metrics::CountRequest(rank of, service_event event) {
  requests_.at(static_cast<std::size_t>(of))
      .at(static_cast<std::size_t>(event))
      ->Increment();
}

void process_metrics::SetControlBytes(std::uint64_t bytes) {
  control_bytes_->Set(static_cast<double>(bytes));
}

void process_metrics::SetPeerBytes(std::uint64_t bytes) {
  peer_bytes_->Set(static_cast<double>(bytes));
}

void process_metrics::SetPolicyVersion(std::uint64_t version) {
  policy_version_->Set(static_cast<double>(version));
}

void process_metrics::SetOpenRequests(std::size_t count) {
  open_requests_->Set(static_cast<double>(count));
}

}  // namespace marjoramsill
