#include <algorithm>
#include <chrono>
#include <cstdint>

#include "connection/call_failure.h"
#include "process/entry/call_environment.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/relay_table.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/retry_window.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Minimum time without a response, or without a further event, after which a
/// repeatable request is sent to another endpoint. A sound endpoint may be
/// silent for a second or so in a stream; callers give up after two.
constexpr milliseconds kMinResponseTimeout{600};
constexpr milliseconds kMinEventTimeout{1'300};
/// The timeouts are at least these multiples of the route's latency targets.
constexpr int kResponseTimeoutFactor = 3;
constexpr int kEventTimeoutFactor = 3;
/// Time between two tries to replace a late attempt.
constexpr milliseconds kReplacementRetryDelay{200};
/// A late attempt without a first event ends after this multiple of its timeout
/// even if nothing can replace it, so that the caller can try again.
constexpr int kUnreplacedFactor = 2;
/// The timeout while the links to all endpoints are lost. A response that is
/// still on its way arrives within this time.
constexpr milliseconds kLostLinkTimeout{200};

}  // namespace

/// Comments, and parts of an event or of a body that trickle in, are no
/// progress: an endpoint that sends nothing else has stalled.
void proxied_call::RecordProgress() {
  const std::uint64_t events = ForwardedEvents().event_count();
  if (attempt_.is_stream && events == counted_events_) return;
  if (!attempt_.is_stream &&
      attempt_.received_bytes < attempt_.counted_bytes + kMinProgressBytes) {
    return;
  }
  CloseLateAttempts("replaced");
  if (attempt_.is_stream) RecordPace(events, environment_.clock());
  attempt_.has_event = attempt_.is_stream;
  counted_events_ = events;
  attempt_.counted_bytes = attempt_.received_bytes;
  attempt_.last_progress = environment_.clock();
}

bool proxied_call::HasUnnumberedEvents() const {
  return events_.scanner().has_event() && events_.last_id().empty();
}

bool proxied_call::CanTryAnotherEndpoint() const {
  const steady_time now = environment_.clock();
  if (!route_->IsRepeatable() || !MayRepeat(now)) return false;
  if (HasUnnumberedEvents()) return false;
  if (!HasAttemptLeft()) return false;
  if (IsRelayDue(now) && IsLinkLost(now)) {
    return environment_.relays->Pick(tried_relays_, pool_id_, now).has_value();
  }
  return pool_->CanServe(limits_, now);
}

void proxied_call::CheckStall(steady_time now) {
  if (state_ == state::kConnecting) {
    const bool is_hopeless = !attempt_.is_handed_on && IsLinkLost(now);
    if (is_hopeless || now - attempt_.started > kConnectTimeout) {
      OnFailure(call_failure::kNotConnected);
    }
    return;
  }
  if (state_ == state::kAwaitingRecord) {
    CheckRecord(now);
    return;
  }
  const bool is_waiting =
      state_ == state::kFindingOrigin || state_ == state::kAwaitingTrial ||
      state_ == state::kAwaitingPlace || state_ == state::kConfirmingEnd ||
      state_ == state::kCheckingEndpoint;
  if (is_waiting) return;
  if (attempt_.is_handed_on) {
    CheckRelayStall(now);
    return;
  }
  const milliseconds timeout = ProgressTimeout(now);
  const auto waited = now - attempt_.last_progress;
  if (waited <= timeout) return;
  const bool can_replace = CanTryAnotherEndpoint();
  const bool may_end =
      !response_started_ && waited > kUnreplacedFactor * timeout;
  if (may_end && (can_replace || has_failed_replacement_)) {
    OnFailure(call_failure::kStalled);
  } else if (can_replace && SecuresReplacement(now)) {
    ReplaceLateAttempt(now);
  }
}

/// The other VM has all attempts that are left, so nothing replaces this one.
/// It ends so that the caller can try again, but not before the other VM has
/// replaced its own late attempts.
void proxied_call::CheckRelayStall(steady_time now) {
  const bool makes_one = attempt_.granted <= 1;
  if (makes_one || response_started_ || !route_->IsRepeatable()) return;
  const milliseconds limit =
      kUnreplacedFactor * attempt_.granted * ProgressTimeout(now);
  if (now - attempt_.last_progress > limit) OnFailure(call_failure::kStalled);
}

milliseconds proxied_call::ProgressTimeout(steady_time now) const {
  if (!attempt_.is_handed_on && IsLinkLost(now)) return kLostLinkTimeout;
  const milliseconds response_timeout = std::max(
      kMinResponseTimeout, kResponseTimeoutFactor * route_->latency_target);
  const milliseconds event_timeout =
      std::max(kMinEventTimeout, kEventTimeoutFactor * route_->gap_target);
  milliseconds timeout = attempt_.has_event ? event_timeout : response_timeout;
  if (state_ == state::kReceiving) timeout = std::max(timeout, event_timeout);
  return timeout;
}

/// A late attempt may still succeed, and another one costs its endpoint work,
/// so none is begun that would find no place.
bool proxied_call::SecuresReplacement(steady_time now) {
  if (now < attempt_.replacement_retry_at) return false;
  attempt_.replacement_retry_at = now + kReplacementRetryDelay;
  if (!IsLinkLost(now) && !pool_->HasPlace(limits_, now)) return false;
  has_retry_ = has_retry_ || TakeRetry(now);
  return has_retry_;
}

bool proxied_call::TakeRetry(steady_time now) {
  const bool allowed = environment_.retries(pool_id_)->TakeRetry(
      environment_.entry_count(), now);
  environment_.metrics->CountRetry(allowed);
  return allowed;
}

}  // namespace marjoramsill
