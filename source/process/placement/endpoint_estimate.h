#ifndef MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_ESTIMATE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_ESTIMATE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "process/directory/endpoint_record.h"
#include "process/directory/load_report.h"
#include "process/directory/shared_load.h"
#include "process/directory/stream_origin.h"
#include "process/placement/endpoint_terms.h"
#include "process/placement/own_call_history.h"
#include "process/placement/prefix_cache_model.h"
#include "process/placement/smoothed_value.h"
#include "process/placement/speed_estimate.h"
#include "process/placement/warm_up_share.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

/// The state of one endpoint as one entry VM estimates it: the announced
/// record, the requests that this entry VM has in flight there, the load
/// reports and the outcomes of recent calls.
class endpoint_estimate {
 public:
  endpoint_estimate(endpoint_record record, token_count cache_capacity,
                    std::shared_ptr<endpoint_terms> terms);

  const endpoint_record& record() const { return record_; }
  /// Replaces the record by a newer one. A new incarnation of the
  /// endpoint starts with an empty prefix cache and without recorded failures.
  void Update(const endpoint_record& record);

  /// A call to the endpoint starts, before its connection is established.
  void OnCallStart(steady_time now);
  /// A call to the endpoint has ended, with any outcome.
  void OnCallEnd(steady_time now);
  /// A call whose request was sent is closed before the end of its response.
  /// The endpoint may go on with the request, until `until` at most as far as
  /// is known. OnCallEnd() follows.
  void OnCallDropped(steady_time until, steady_time now);
  /// The bytes of a request were handed to the network.
  void OnRequestSent(steady_time now);
  /// Part of a response arrived.
  void OnActivity();
  /// The endpoint sent a load report with a response to this entry VM.
  void RecordLoad(const load_report& report, steady_time now);
  /// Another entry VM received the report at `measured_at`. Ignored if a newer
  /// report is known.
  void RecordSharedLoad(const load_report& report, steady_time measured_at);
  /// The latest report that the endpoint sent to this entry VM, unless an
  /// earlier call returned it.
  std::optional<shared_load> TakeUnsharedLoad(steady_time now);
  /// The terms on which the endpoint takes requests.
  endpoint_terms& terms() { return *terms_; }
  const endpoint_terms& terms() const { return *terms_; }
  /// The endpoint said, in a heartbeat or in a response, that it is cold for
  /// this time from now on.
  void SetColdFor(std::chrono::milliseconds left, steady_time now);
  /// When the endpoint is warm, by what it said last.
  steady_time cold_until() const { return cold_until_; }
  /// A connection to the endpoint failed within this period. It may have
  /// started again and be cold, without its record showing it yet.
  bool HasFailedWithin(std::chrono::milliseconds period, steady_time now) const;
  warm_up_share& warm_up() { return warm_up_; }
  /// A complete response arrived; `success` tells whether its status is one.
  void OnResponse(bool success);
  /// The connection could not be established, was lost, or stalled without a
  /// response. The endpoint is avoided for a delay that grows with each
  /// consecutive failure.
  void OnConnectionFailure(steady_time now);
  /// The endpoint closed a kept connection that carried no call.
  void OnIdleConnectionLost(steady_time now) { connection_lost_at_ = now; }
  /// A connection was lost so short a time ago that the endpoint may have
  /// started again, with other software, without its record showing it yet.
  bool MayHaveRestarted(steady_time now) const;
  /// The endpoint is known to run this software, and nothing says that it may
  /// run another one by now.
  bool HasSoftware(software_digest software, steady_time now) const {
    return !record_.software.empty() && DigestOfSoftware(record_) == software &&
           !MayHaveRestarted(now);
  }
  /// The failures came from lost links of this VM, not from the endpoint.
  void ForgetFailures();
  /// No response came before the caller's deadline. The request may just have
  /// been a long one, so this raises the failure rate, but the endpoint is not
  /// avoided.
  void OnTimeout();
  /// The endpoint was at capacity and refused a request without running it.
  void OnCapacityRefusal(steady_time now);
  /// The address belongs to another endpoint now, or the endpoint no longer
  /// serves. It is not chosen until its address or incarnation changes.
  void OnMisdirection() { is_misdirected_ = true; }

  /// Requests that run or wait on the endpoint, including those of other
  /// entry VMs.
  double EstimatedLoad(steady_time now) const;
  /// EstimatedLoad() without the bias of a report of another VM that has not
  /// been renewed: the request whose response brought it counts in it, and ends
  /// in time. The end of an own request is known.
  /// `duration_ms`: mean duration of a request.
  double ExpectedLoad(double duration_ms, steady_time now) const;
  /// True if something shows that the endpoint serves: its heartbeats, and no
  /// failure of a connection to it that is newer than its latest load report.
  bool IsKnownToServe(steady_time now) const;
  /// As IsKnownToServe(), also while its failure domain is evacuated.
  bool IsKnownToOperate(steady_time now) const;
  /// Age of the latest load report, or nothing without a report.
  std::optional<std::chrono::microseconds> ReportAge(steady_time now) const;
  /// Calls of this entry VM that have started and not ended.
  std::uint32_t in_flight() const { return in_flight_; }
  /// Slots that requests of this VM may take: calls in progress, and dropped
  /// ones that the endpoint may go on with.
  std::uint32_t SlotsTaken(steady_time now) const;
  /// The endpoint has reported a short time ago that requests wait there.
  bool HasQueue(steady_time now) const;
  /// When the first request after the last response data was sent.
  std::optional<steady_time> waiting_since() const { return waiting_since_; }
  /// Requests that the endpoint runs at the same time.
  std::uint32_t slots() const;
  /// True if requests should go to other endpoints for now, as long as any
  /// other one can serve.
  bool IsAvoided(steady_time now) const {
    return now < avoid_until_ || IsUnresponsive(now);
  }
  /// True if requests were sent some time ago and no response data for any
  /// request has arrived since: the endpoint hangs or cannot be reached.
  bool IsUnresponsive(steady_time now) const;
  /// The endpoint's failure domain is evacuated, or is no longer.
  void SetEvacuated(bool is_evacuated) { is_evacuated_ = is_evacuated; }
  bool is_evacuated() const { return is_evacuated_; }
  /// True if the endpoint's phase and address allow requests.
  bool IsOperating() const;
  /// True if the endpoint operates and is not evacuated.
  bool IsServing() const { return IsOperating() && !is_evacuated_; }
  /// Share of recent calls that failed, 0 to 1.
  double failure_rate() const { return failures_.value(); }
  prefix_cache_model& prefixes() { return prefixes_; }
  const prefix_cache_model& prefixes() const { return prefixes_; }
  speed_estimate& speed() { return speed_; }
  const speed_estimate& speed() const { return speed_; }

 private:
  endpoint_record record_;
  prefix_cache_model prefixes_;
  std::uint32_t in_flight_ = 0;
  /// For each dropped call, until when the endpoint may go on with it.
  std::vector<steady_time> dropped_until_;
  load_report report_;
  /// Starts and ends of own calls, of which some may be newer than the report.
  own_call_history own_calls_;
  /// Position in `own_calls_` of the first one that the report lacks.
  std::size_t first_unreported_ = 0;
  steady_time reported_at_;
  bool has_report_ = false;
  /// The report came with a response to this VM.
  bool is_report_own_ = false;
  bool is_report_shared_ = true;
  const std::shared_ptr<endpoint_terms> terms_;
  warm_up_share warm_up_;
  steady_time cold_until_;
  bool is_misdirected_ = false;
  bool is_evacuated_ = false;
  std::optional<steady_time> waiting_since_;
  std::uint32_t consecutive_failures_ = 0;
  steady_time failed_at_;
  std::optional<steady_time> connection_lost_at_;
  steady_time avoid_until_;
  smoothed_value failures_;
  speed_estimate speed_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_ESTIMATE_H_
