#include "process/entry/entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <algorithm>
#include <vector>

#include "connection/memory_budget.h"

namespace marjoramsill {
namespace {

/// Upper bounds of the histogram buckets in seconds.
const std::vector<double> kSeconds{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5,
                                   0.8,  1.2,   2,    4,   8,   16};

}  // namespace

entry_metrics::entry_metrics() {
  auto& requests =
      registry_.AddCounters("marjoramsill_entry_requests_total",
                            "Requests of callers by rank and outcome");
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    for (std::size_t i = 0; i < kCallOutcomeCount; ++i) {
      const auto outcome = static_cast<call_outcome>(i);
      outcomes_[rank][i] =
          &requests.Add({{"rank", std::to_string(rank)},
                         {"outcome", CallOutcomeText(outcome)}});
    }
  }
  attempts_ = registry_.AddCounter("marjoramsill_entry_attempts_total",
                                   "Requests sent to endpoints");
  retries_ = registry_.AddCounter("marjoramsill_entry_retries_total",
                                  "Requests sent to a further endpoint");
  retries_denied_ = registry_.AddCounter(
      "marjoramsill_entry_retries_denied_total",
      "Further attempts that the retry budget did not allow");
  connections_ = registry_.AddCounter("marjoramsill_entry_connections_total",
                                      "Connections opened to endpoints");
  late_attempts_ = registry_.AddCounter(
      "marjoramsill_entry_late_attempts_total",
      "Attempts without progress, beside which another one was made");
  late_attempts_going_on_ = registry_.AddCounter(
      "marjoramsill_entry_late_attempts_going_on_total",
      "Late attempts that went on because the other one brought nothing");
  handed_on_ = registry_.AddCounter("marjoramsill_entry_handed_on_total",
                                    "Requests handed on to another entry VM");
  relays_lost_ = registry_.AddCounter(
      "marjoramsill_entry_relays_lost_total",
      "Requests sent to another entry VM that gave no answer");
  relayed_ = registry_.AddCounter("marjoramsill_entry_relayed_total",
                                  "Requests taken from other entry VMs");
  relays_refused_ = registry_.AddCounter(
      "marjoramsill_entry_relays_refused_total",
      "Requests of other entry VMs refused for want of room");
  over_bound_ = registry_.AddCounter(
      "marjoramsill_entry_over_bound_total",
      "Requests sent to an endpoint above the load bound of its pool");
  cold_requests_ = registry_.AddCounter(
      "marjoramsill_entry_cold_requests_total",
      "Requests sent to a cold endpoint of a pool with a warm-up limit");
  full_pools_ = registry_.AddCounter(
      "marjoramsill_entry_pool_full_total",
      "Requests without an endpoint within the load bound of their pool");
  pauses_ = registry_.AddCounter("marjoramsill_entry_pauses_total",
                                 "Pauses that endpoints asked this VM for");
  endpoint_refusals_ =
      registry_.AddCounter("marjoramsill_entry_endpoint_refusals_total",
                           "Requests that an endpoint refused");
  underestimates_ = registry_.AddCounter(
      "marjoramsill_entry_load_underestimates_total",
      "Responses of endpoints with clearly more load than estimated");
  unreadable_ =
      registry_.AddCounter("marjoramsill_entry_unreadable_total",
                           "Requests of callers that could not be read");
  unreceived_ = registry_.AddCounter(
      "marjoramsill_entry_responses_unreceived_total",
      "Connections closed before the caller had received the response");
  first_byte_ = registry_.AddHistogram(
      "marjoramsill_entry_first_byte_seconds",
      "Time from a request to the start of its answer", kSeconds);
  gap_ = registry_.AddHistogram("marjoramsill_entry_gap_seconds",
                                "Longest pause within a streamed answer",
                                kSeconds);
  AddGauges();
  AddMemoryMetrics();
}

void entry_metrics::AddGauges() {
  document_version_ =
      registry_.AddGauge("marjoramsill_entry_document_version",
                         "Version of the routing document in force");
  endpoints_ready_ = registry_.AddGauge("marjoramsill_entry_endpoints_ready",
                                        "Endpoints believed ready");
  endpoints_silent_ = registry_.AddGauge("marjoramsill_entry_endpoints_silent",
                                         "Endpoints without recent heartbeats");
  endpoints_leaving_ =
      registry_.AddGauge("marjoramsill_entry_endpoints_leaving",
                         "Endpoints that announced their end");
  endpoints_cold_ =
      registry_.AddGauge("marjoramsill_entry_endpoints_cold",
                         "Cold endpoints of pools with a warm-up limit");
  evacuated_ = registry_.AddGauge("marjoramsill_entry_evacuated_domains",
                                  "Failure domains that get no requests");
  open_calls_ = registry_.AddGauge("marjoramsill_entry_open_calls",
                                   "Requests in progress");
  endpoints_slow_ = registry_.AddGauge(
      "marjoramsill_entry_endpoints_slow",
      "Endpoints whose work takes 1.5 times as long as usual in their pool");
  dropped_lines_ = registry_.AddGauge("marjoramsill_entry_dropped_lines",
                                      "Log lines dropped since the start");
}

void entry_metrics::AddMemoryMetrics() {
  memory_limit_ =
      registry_.AddGauge("marjoramsill_entry_memory_limit_bytes",
                         "Most bytes held for connections of callers");
  for (std::size_t i = 0; i < kMemoryKindCount; ++i) {
    const std::string kind(MemoryKindText(static_cast<memory_kind>(i)));
    memory_[i] =
        registry_.AddGauge("marjoramsill_entry_memory_" + kind + "_bytes",
                           "Bytes held for connections of callers");
  }
  auto& closes = registry_.AddCounters(
      "marjoramsill_entry_memory_closes_total",
      "Connections closed because memory is exhausted, by reason");
  for (std::size_t i = 0; i < kMemoryCloseReasonCount; ++i) {
    memory_closes_[i] =
        &closes.Add({{"reason", std::string(MemoryCloseReasonText(
                                    static_cast<memory_close_reason>(i)))}});
  }
}

entry_metrics::~entry_metrics() = default;

void entry_metrics::CountOutcome(int rank, call_outcome outcome) {
  const std::size_t row = std::min<std::size_t>(
      static_cast<std::size_t>(std::max(rank, 0)), kRanks - 1);
  outcomes_[row][static_cast<std::size_t>(outcome)]->Increment();
}

void entry_metrics::CountLateAttempt() { late_attempts_->Increment(); }

void entry_metrics::CountLateAttemptGoingOn() {
  late_attempts_going_on_->Increment();
}

void entry_metrics::CountAttempt() { attempts_->Increment(); }

void entry_metrics::CountRetry(bool allowed) {
  (allowed ? retries_ : retries_denied_)->Increment();
}

void entry_metrics::CountConnection() { connections_->Increment(); }

void entry_metrics::CountHandedOn() { handed_on_->Increment(); }

void entry_metrics::CountRelayLost() { relays_lost_->Increment(); }

void entry_metrics::CountRelayed(bool taken) {
  (taken ? relayed_ : relays_refused_)->Increment();
}

void entry_metrics::CountOverBound() { over_bound_->Increment(); }

void entry_metrics::CountColdRequest() { cold_requests_->Increment(); }

void entry_metrics::CountFullPool() { full_pools_->Increment(); }

void entry_metrics::CountPause() { pauses_->Increment(); }

void entry_metrics::CountEndpointRefusal() { endpoint_refusals_->Increment(); }

void entry_metrics::CountUnderestimate() { underestimates_->Increment(); }

void entry_metrics::CountUnreadable() { unreadable_->Increment(); }

void entry_metrics::CountUnreceived() { unreceived_->Increment(); }

void entry_metrics::ObserveFirstByte(double seconds) {
  first_byte_->Observe(seconds);
}

void entry_metrics::ObserveGap(double seconds) { gap_->Observe(seconds); }

void entry_metrics::SetDocumentVersion(std::uint64_t version) {
  document_version_->Set(static_cast<double>(version));
}

void entry_metrics::SetEndpoints(std::size_t ready, std::size_t silent,
                                 std::size_t leaving) {
  endpoints_ready_->Set(static_cast<double>(ready));
  endpoints_silent_->Set(static_cast<double>(silent));
  endpoints_leaving_->Set(static_cast<double>(leaving));
}

void entry_metrics::SetColdEndpoints(std::size_t count) {
  endpoints_cold_->Set(static_cast<double>(count));
}

void entry_metrics::SetEvacuated(std::size_t domains) {
  evacuated_->Set(static_cast<double>(domains));
}

void entry_metrics::SetSlowEndpoints(std::size_t count) {
  endpoints_slow_->Set(static_cast<double>(count));
}

void entry_metrics::SetOpenCalls(std::size_t count) {
  open_calls_->Set(static_cast<double>(count));
}

void entry_metrics::SetDroppedLines(std::uint64_t count) {
  dropped_lines_->Set(static_cast<double>(count));
}

void entry_metrics::SetMemory(const memory_budget& memory) {
  memory_limit_->Set(static_cast<double>(memory.limit()));
  for (std::size_t i = 0; i < kMemoryKindCount; ++i) {
    const std::size_t held = memory.held(static_cast<memory_kind>(i));
    memory_[i]->Set(static_cast<double>(held));
  }
}

void entry_metrics::CountMemoryClose(memory_close_reason reason) {
  memory_closes_[static_cast<std::size_t>(reason)]->Increment();
}

}  // namespace marjoramsill
