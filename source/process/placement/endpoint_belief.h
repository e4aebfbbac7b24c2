#ifndef MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_BELIEF_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_BELIEF_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "process/directory/endpoint_record.h"
#include "process/directory/load_report.h"
#include "process/directory/shared_load.h"
#include "process/placement/prefix_memory.h"
#include "process/placement/smoothed_value.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

/// What an entry VM believes of one endpoint: what the endpoint announced,
/// the own requests there, its load reports and how its calls went.
class endpoint_belief {
 public:
  endpoint_belief(endpoint_record record, token_count cache_capacity);

  const endpoint_record& record() const { return record_; }
  /// Takes over a newer record. A new life starts with nothing cached.
  void Update(const endpoint_record& record);

  void NoteSent(steady_time now);
  void NoteEnded();
  /// A request was handed to the network.
  void NoteRequestSent(steady_time now);
  /// Some bytes of an answer arrived.
  void NoteHeard();
  void NoteLoad(const load_report& report, steady_time now);
  /// Another entry VM received the report at `measured_at`.
  void NoteSharedLoad(const load_report& report, steady_time measured_at);
  /// The last report that came with an answer, unless it was taken already.
  std::optional<shared_load> TakeUnsharedLoad(steady_time now);
  /// The endpoint has answered, with a success or a failure of its own.
  void NoteAnswer(bool success);
  /// Connecting failed, the connection broke or the answer did not come.
  void NoteBroken(steady_time now);
  /// It did not answer within the caller's time. The request may only have
  /// been long, so this counts as a failure but does not set it aside.
  void NoteTimeout();
  /// It refused a request without running it because it was full.
  void NoteFull(steady_time now);
  /// Another endpoint has the address, or the endpoint no longer serves.
  void NoteMisdirected() { is_misdirected_ = true; }

  /// Requests that run or wait there, those of other entry VMs included.
  double EstimatedLoad(steady_time now) const;
  /// Age of the last load report; nothing without one.
  std::optional<std::chrono::microseconds> ReportAge(steady_time now) const;
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t slots() const;
  /// No request should go there before this time, while others can serve.
  bool IsAvoided(steady_time now) const {
    return now < avoid_until_ || IsUnresponsive(now);
  }
  /// Requests were sent a while ago and nothing at all has come since, for
  /// these or any other request: it hangs, or is cut off from here.
  bool IsUnresponsive(steady_time now) const;
  bool IsServing() const;
  double failure_rate() const { return failures_.value(); }
  prefix_memory& prefixes() { return prefixes_; }
  const prefix_memory& prefixes() const { return prefixes_; }

 private:
  endpoint_record record_;
  prefix_memory prefixes_;
  std::uint32_t in_flight_ = 0;
  load_report report_;
  std::uint32_t in_flight_at_report_ = 0;
  steady_time reported_at_;
  bool has_report_ = false;
  bool is_report_shared_ = true;
  steady_time last_sent_;
  bool is_misdirected_ = false;
  /// First request that was sent after the last sign of life.
  std::optional<steady_time> unanswered_since_;
  std::uint32_t broken_in_row_ = 0;
  steady_time avoid_until_;
  smoothed_value failures_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_BELIEF_H_
