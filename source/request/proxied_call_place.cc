#include <chrono>
#include <string_view>

#include "process/entry/call_environment.h"
#include "process/placement/endpoint_pool.h"
#include "request/proxied_call.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Longest wait for a place in a full pool.
constexpr milliseconds kMaxPlaceWait{200};
/// Retry-After if there is no endpoint: after the next heartbeats.
constexpr double kNoEndpointRetryMs = 1'000;

}  // namespace

void proxied_call::OnNoChoice(steady_time now) {
  std::string_view reason = "no_endpoint";
  double retry_after_ms = kNoEndpointRetryMs;
  const auto wait = pool_->LimitWait(limits_, now);
  const auto full = pool_->FindFull(limits_, now);
  const auto pause = pool_->PauseWait(limits_, now);
  if ((wait || full || pause) && OfferElsewhere(now)) return;
  if (wait) {
    reason = "endpoint_limits";
    retry_after_ms = MillisOf(*wait);
  }
  if (pause) {
    reason = "endpoints_paused";
    // No caller should come back before the first endpoint takes requests.
    retry_after_ms = MillisOf(*pause) / kMinRetryJitter;
  }
  if (full) {
    if (AwaitPlace(*full, now)) return;
    reason = "pool_full";
    // About half of the requests that the endpoints hold have ended by then.
    retry_after_ms = pool_->mean_duration_ms() / 2;
    LogFullPool(*full);
  }
  EndUnsent(reason, retry_after_ms);
}

void proxied_call::EndUnsent(std::string_view reason, double retry_after_ms) {
  if (ReturnToLate()) return;
  if (may_have_run_ || response_started_) {
    Fail(reason);
  } else {
    Refuse(reason, retry_after_ms);
  }
}

/// Places and limits are divided among the entry VMs, so that one has used up
/// its part while others have not.
bool proxied_call::OfferElsewhere(steady_time now) {
  if (terms_ && !may_have_run_) {
    ReturnRelayed(kRelayFull, "pool_full");
    return true;
  }
  return !response_started_ && HandOn(now);
}

/// The places of a full pool are divided among the entry VMs, so that a few
/// requests that arrive together find none here while other VMs have some. One
/// that has to wait longer than kMaxPlaceWait is refused at once.
bool proxied_call::AwaitPlace(const full_pool& full, steady_time now) {
  if (sent_ > 0 || full.own_places == 0) return false;
  const double expected_ms =
      pool_->mean_duration_ms() * (pool_->waiting() + 1) / full.own_places;
  if (expected_ms > MillisOf(kMaxPlaceWait)) return false;
  if (place_deadline_ == steady_time()) place_deadline_ = now + kMaxPlaceWait;
  if (now >= place_deadline_) return false;
  state_ = state::kAwaitingPlace;
  pool_->AddWaiting();
  return true;
}

void proxied_call::RetryPlace(steady_time now) {
  if (!is_awaiting_place()) return;
  if (now < place_deadline_ && !pool_->HasPlace(limits_, now)) return;
  state_ = state::kNew;
  pool_->RemoveWaiting();
  Attempt();
}

}  // namespace marjoramsill
