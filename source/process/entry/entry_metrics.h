#ifndef MARJORAMSILL_PROCESS_ENTRY_ENTRY_METRICS_H_
#define MARJORAMSILL_PROCESS_ENTRY_ENTRY_METRICS_H_

#include <array>
#include <cstdint>
#include <string>

#include "connection/memory_kind.h"
#include "connection/memory_shortage.h"
#include "process/daemon/metric_registry.h"
#include "process/entry/call_outcome.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace marjoramsill {

class memory_budget;

/// Metrics of an entry process. Label values come from fixed sets, so the
/// number of series is bounded.
class entry_metrics {
 public:
  entry_metrics();
  ~entry_metrics();
  entry_metrics(const entry_metrics&) = delete;
  entry_metrics& operator=(const entry_metrics&) = delete;

  void CountOutcome(int rank, call_outcome outcome);
  /// A request was sent to an endpoint.
  void CountAttempt();
  /// `allowed`: the retry budget permits the further attempt.
  void CountRetry(bool allowed);
  /// A connection to an endpoint was opened.
  void CountConnection();
  /// An attempt made no progress in time, and another one is made beside it.
  void CountLateAttempt();
  /// A late attempt goes on, as the other one brought nothing.
  void CountLateAttemptGoingOn();
  /// A request was handed on to another entry VM.
  void CountHandedOn();
  /// The other VM gave no answer to a request that had been sent to it.
  void CountRelayLost();
  /// A request of another entry VM was taken, or refused for want of room.
  void CountRelayed(bool taken);
  /// A request was sent to an endpoint above the load bound of its pool.
  void CountOverBound();
  /// A request was sent to a cold endpoint of a pool that limits these.
  void CountColdRequest();
  /// A request got no endpoint because of the load bound of its pool.
  void CountFullPool();
  /// An endpoint asked for a pause.
  void CountPause();
  /// An endpoint refused a request.
  void CountEndpointRefusal();
  /// An endpoint reported clearly more load than was estimated.
  void CountUnderestimate();
  /// A caller's request could not be parsed.
  void CountUnreadable();
  /// A connection was closed before its caller had received the whole response.
  void CountUnreceived();
  /// Time from the request to the first byte of the response.
  void ObserveFirstByte(double seconds);
  /// Longest delay between two parts of a response.
  void ObserveGap(double seconds);
  void SetDocumentVersion(std::uint64_t version);
  void SetEndpoints(std::size_t ready, std::size_t silent, std::size_t leaving);
  /// Endpoints that are cold, of pools that limit requests to them.
  void SetColdEndpoints(std::size_t count);
  void SetEvacuated(std::size_t domains);
  void SetOpenCalls(std::size_t count);
  /// Endpoints whose work takes clearly longer than usual in their pools.
  void SetSlowEndpoints(std::size_t count);
  void SetDroppedLines(std::uint64_t count);
  /// Bytes held for connections of callers, and their limit.
  void SetMemory(const memory_budget& memory);
  /// A connection was closed because memory is exhausted.
  void CountMemoryClose(memory_close_reason reason);
  /// All metrics in the Prometheus text format.
  std::string Text() const { return registry_.Text(); }

 private:
  // Parts of the constructor.
  void AddGauges();
  void AddMemoryMetrics();

  /// Number of ranks with series of their own; higher ranks are counted in the
  /// last one.
  static constexpr std::size_t kRanks = 4;

  metric_registry registry_;
  std::array<std::array<prometheus::Counter*, kCallOutcomeCount>, kRanks>
      outcomes_{};
  prometheus::Counter* attempts_ = nullptr;
  prometheus::Counter* retries_ = nullptr;
  prometheus::Counter* retries_denied_ = nullptr;
  prometheus::Counter* connections_ = nullptr;
  prometheus::Counter* late_attempts_ = nullptr;
  prometheus::Counter* late_attempts_going_on_ = nullptr;
  prometheus::Counter* handed_on_ = nullptr;
  prometheus::Counter* relays_lost_ = nullptr;
  prometheus::Counter* relayed_ = nullptr;
  prometheus::Counter* relays_refused_ = nullptr;
  prometheus::Counter* over_bound_ = nullptr;
  prometheus::Counter* cold_requests_ = nullptr;
  prometheus::Counter* full_pools_ = nullptr;
  prometheus::Counter* pauses_ = nullptr;
  prometheus::Counter* endpoint_refusals_ = nullptr;
  prometheus::Counter* underestimates_ = nullptr;
  prometheus::Counter* unreadable_ = nullptr;
  prometheus::Counter* unreceived_ = nullptr;
  prometheus::Histogram* first_byte_ = nullptr;
  prometheus::Histogram* gap_ = nullptr;
  prometheus::Gauge* document_version_ = nullptr;
  prometheus::Gauge* endpoints_ready_ = nullptr;
  prometheus::Gauge* endpoints_silent_ = nullptr;
  prometheus::Gauge* endpoints_leaving_ = nullptr;
  prometheus::Gauge* endpoints_cold_ = nullptr;
  prometheus::Gauge* evacuated_ = nullptr;
  prometheus::Gauge* open_calls_ = nullptr;
  prometheus::Gauge* endpoints_slow_ = nullptr;
  prometheus::Gauge* dropped_lines_ = nullptr;
  prometheus::Gauge* memory_limit_ = nullptr;
  std::array<prometheus::Gauge*, kMemoryKindCount> memory_{};
  std::array<prometheus::Counter*, kMemoryCloseReasonCount> memory_closes_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ENTRY_METRICS_H_
