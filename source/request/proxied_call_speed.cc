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
  if (!attempt_.has_event) {
    attempt_.pace_since = now;
    attempt_.pace_events = 0;
    // The time that copying a prefix takes is not the endpoint's own.
    if (attempt_.fetch_from.empty()) {
      RecordWork(work_kind::kFirstEvent, now - attempt_.sent_at, now);
    }
    return;
  }
  attempt_.pace_events += events - counted_events_;
  if (attempt_.pace_events < kMinPauses) return;
  RecordWork(work_kind::kPause,
             (now - attempt_.pace_since) /
                 static_cast<std::int64_t>(attempt_.pace_events),
             now);
  attempt_.pace_since = now;
  attempt_.pace_events = 0;
}

void proxied_call::RecordWork(work_kind kind, std::chrono::microseconds took,
                              steady_time now) {
  if (attempt_.is_handed_on || IsLinkLost(now)) return;
  endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint);
  if (endpoint == nullptr) return;
  pool_->RecordWork(*endpoint, {kind, route_->name, took, attempt_.usual_ms},
                    now);
}

}  // namespace marjoramsill
