#include <chrono>
#include <cstdint>

#include "process/placement/endpoint_pool.h"
#include "process/placement/work_sample.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

// Evidence of the speed of endpoints.

namespace marjoramsill {
namespace {

/// Pauses that one measurement covers. Single ones are shorter than the delays
/// of a busy entry VM.
constexpr std::uint64_t kMinPauses = 8;

}  // namespace

void proxied_call::RecordPace(std::uint64_t events, steady_time now) {
  if (!has_event_) {
    pace_since_ = now;
    pace_events_ = 0;
    // The time that copying a prefix takes is not the endpoint's own.
    if (fetch_from_.empty()) {
      RecordWork(work_kind::kFirstEvent, now - sent_at_, now);
    }
    return;
  }
  pace_events_ += events - counted_events_;
  if (pace_events_ < kMinPauses) return;
  RecordWork(work_kind::kPause,
             (now - pace_since_) / static_cast<std::int64_t>(pace_events_),
             now);
  pace_since_ = now;
  pace_events_ = 0;
}

void proxied_call::RecordWork(work_kind kind, std::chrono::microseconds took,
                              steady_time now) {
  if (is_handed_on_ || IsLinkLost(now)) return;
  endpoint_estimate* endpoint = pool_->Find(endpoint_);
  if (endpoint == nullptr) return;
  pool_->RecordWork(*endpoint, {kind, route_->name, took, usual_ms_}, now);
}

}  // namespace marjoramsill
