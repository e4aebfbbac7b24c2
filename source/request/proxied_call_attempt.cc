#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

#include "connection/caller_connection.h"
#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/entry/call_environment.h"
#include "process/entry/content_breaker.h"
#include "process/entry/decision_log.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/log_fields.h"
#include "process/entry/relay_table.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/retry_window.h"
#include "request/attempt_rules.h"
#include "request/http_status.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

/// A request is refused if its estimated queueing time at the endpoint exceeds
/// this fraction of the time to the deadline.
constexpr double kMaxWaitShare = 0.6;
/// Retry-After of a refusal after an attempt. Short, since another entry VM may
/// reach an endpoint that refused or failed here.
constexpr double kFailedRetryMs = 300;

/// Failures after which a repeatable request may succeed at another endpoint.
bool IsTransientFailure(int status) {
  return IsServerError(status) || status == kStatusTooManyRequests ||
         status == kStatusRequestTimeout;
}

constexpr double kPercent = 100;

/// Estimated speed of the endpoint relative to its pool.
std::int64_t SpeedPercent(const placement_choice& choice) {
  return std::lround(kPercent / choice.duration_factor);
}

}  // namespace

void proxied_call::Attempt() {
  const steady_time now = environment_.clock();
  // The process may have been frozen while the request waited or was at another
  // endpoint.
  if (!MayServe()) {
    if (terms_) {
      ReturnRelayed(kRelayUnavailable, kStartingReason);
    } else {
      EndUnsent(kStartingReason, kStartingRetryMs);
    }
    return;
  }
  if (terms_ && IsLinkLost(now)) {
    ReturnRelayed(kRelayUnavailable, "no_links");
    return;
  }
  if (IsRefusedEverywhere(now) && HandOn(now)) return;
  if (terms_ && !may_have_run_ && pool_->waiting() > 0) {
    ReturnRelayed(kRelayFull, "pool_full");
    return;
  }
  const bool is_relay_due = IsRelayDue(now);
  // Kept connections may go on to work while new ones fail.
  const bool may_use_kept =
      is_relay_due && pool_->reach().HasRecentActivity(now);
  if (is_relay_due && !may_use_kept && HandOn(now)) return;
  const auto choice = pool_->Choose(demand_, limits_, now);
  if (choice && may_use_kept &&
      !environment_.connections->HasIdle(choice->endpoint->record().id) &&
      HandOn(now)) {
    return;
  }
  if (is_relay_due && !may_use_kept && IsLinkLost(now)) {
    EndUnsent("no_links", kFailedRetryMs);
    return;
  }
  if (!choice && refused_connections_ > 0) {
    if (HandOn(now)) return;
    if (terms_ && !may_have_run_) {
      ReturnRelayed(kRelayUnavailable, "no_links");
      return;
    }
  }
  if (!choice) {
    OnNoChoice(now);
    return;
  }
  LogStep("placed", log_fields()
                        .Add("endpoint", choice->endpoint->record().id.value())
                        .Add("software", choice->endpoint->record().software)
                        .Add("resumes", resumed_request_)
                        .Add("candidates", choice->candidates)
                        .Add("cost_ms", choice->cost.Total())
                        .Add("load", choice->load)
                        .Add("load_age_ms", choice->load_age_ms)
                        .Add("pool_mean", choice->pool_mean)
                        .Add("speed", SpeedPercent(*choice))
                        .Add("left_out", choice->left_out)
                        .Add("cold", choice->is_cold ? 1 : 0)
                        .Add("wait_ms", choice->cost.wait_ms)
                        .Add("cached", choice->cached.value())
                        .Add("fetch_from", choice->fetch_from));
  const double allowed = kMaxWaitShare * MillisOf(deadline_ - now);
  if (sent_ == 0 && choice->cost.wait_ms > allowed) {
    Refuse("overload", choice->cost.wait_ms - allowed);
    return;
  }
  if (choice->is_over_bound) LogOverBound(*choice);
  if (choice->is_cold) environment_.metrics->CountColdRequest();
  OpenConnection(*choice);
}

void proxied_call::OnHead(const endpoint_response_head& head) {
  state_ = state::kReceiving;
  RecordHead(attempt_, head);
  if (!IsSuccessStatus(head.status) || attempt_.is_rejected) return;
  if (!IsAnswerStart(head)) {
    OnFailure(call_failure::kMalformed);
    return;
  }
  CloseLateAttempts("replaced");
  attempt_.is_stream = route_->kind == route_kind::kStreaming;
  if (attempt_.is_stream && !route_->is_resumable) StartResponse();
}

void proxied_call::RecordHead(endpoint_attempt& attempt,
                              const endpoint_response_head& head) {
  const steady_time now = environment_.clock();
  if (route_->kind != route_kind::kStreaming) attempt.last_progress = now;
  attempt.head = head;
  RecordActivity(attempt);
  endpoint_estimate* endpoint = pool_->Find(attempt.endpoint);
  const auto load = environment_.dialect.read_load(head.fields);
  if (endpoint != nullptr && load) {
    endpoint->RecordLoad(*load, now);
    LogUnderestimate(attempt, *load);
  }
  RecordTerms(attempt, endpoint, now);
  attempt.is_rejected =
      FindField(head.fields, environment_.dialect.not_run) != nullptr ||
      (!attempt.is_handed_on && head.status == kStatusMisdirected);
  const bool is_refusal = attempt.is_rejected || SignalsNotRun(head.status);
  if (is_refusal && !attempt.is_handed_on) LogRefusal(attempt);
}

void proxied_call::RecordActivity(const endpoint_attempt& attempt) {
  if (!attempt.is_handed_on) {
    pool_->reach().OnActivity(environment_.clock());
  }
  if (endpoint_estimate* endpoint = pool_->Find(attempt.endpoint)) {
    endpoint->OnActivity();
  }
}

bool proxied_call::IsAnswerStart(const endpoint_response_head& head) const {
  const bool is_proven =
      FindField(head.fields, environment_.dialect.endpoint_proof) != nullptr;
  return is_proven && ContinuesResponse(head);
}

void proxied_call::OnBody(std::string_view data) {
  RecordActivity(attempt_);
  attempt_.received_bytes += data.size();
  if (attempt_.is_stream) {
    ForwardStream(data);
  } else if (!attempt_.is_rejected) {
    attempt_.body += data;
  }
  RecordProgress();
  CountHeldBytes();
  const std::size_t received = attempt_.body.size() + events_.rest().size();
  if (received + caller_->unsent_bytes() > kMaxHeldBytes) {
    OnFailure(call_failure::kMalformed);
  }
}

void proxied_call::ReleaseEndpoint(endpoint_attempt& attempt) {
  LeaveOrigin();
  EndRelay(attempt);
  if (!attempt.is_counted) return;
  attempt.is_counted = false;
  if (endpoint_estimate* target = pool_->Find(attempt.endpoint)) {
    target->OnCallEnd(environment_.clock());
  }
}

void proxied_call::RecordDroppedCall(const endpoint_attempt& attempt) {
  if (attempt.is_handed_on || !attempt.connection ||
      !attempt.connection->has_sent()) {
    return;
  }
  endpoint_estimate* endpoint = pool_->Find(attempt.endpoint);
  if (endpoint == nullptr) return;
  const std::chrono::duration<double, std::milli> usual(
      pool_->mean_duration_ms());
  const auto remaining =
      std::chrono::duration_cast<std::chrono::microseconds>(usual);
  const steady_time now = environment_.clock();
  // An endpoint stops work at the deadline that it was sent.
  endpoint->OnCallDropped(std::min(deadline_, now + remaining), now);
}

void proxied_call::DropConnection(endpoint_attempt& attempt) {
  ReleaseEndpoint(attempt);
  if (!attempt.connection) return;
  attempt.connection->Close();
  attempt.connection.reset();
}

void proxied_call::RecordUnsuccessfulEnd(const endpoint_attempt& attempt,
                                         endpoint_estimate* endpoint) {
  if (endpoint == nullptr) return;
  if (!attempt.is_rejected) {
    endpoint->OnResponse(false);
  } else if (attempt.head.status == kStatusMisdirected) {
    endpoint->OnMisdirection();
  } else {
    endpoint->OnCapacityRefusal(environment_.clock());
  }
}

void proxied_call::OnCompleteAnswer() {
  const steady_time now = environment_.clock();
  const auto self = shared_from_this();
  endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint);
  LeaveConnection(attempt_);
  if (attempt_.is_handed_on && OnRelayRefusal()) return;
  if (attempt_.is_rejected) {
    RecordUnsuccessfulEnd(attempt_, endpoint);
    AfterAttempt(attempt_end::kNotRun, "rejected");
    return;
  }
  if (IsSuccessStatus(attempt_.head.status)) {
    if (endpoint != nullptr) endpoint->OnResponse(true);
    RecordAnswer(endpoint, now);
    pool_->RecordDuration(now - attempt_.started);
    if (!attempt_.is_stream) {
      RecordWork(work_kind::kPlain, now - attempt_.sent_at, now);
    }
    if (attempt_.is_stream) {
      EndStream();
    } else {
      ForwardBuffered();
    }
    return;
  }
  RecordUnsuccessfulEnd(attempt_, endpoint);
  may_have_run_ = true;
  // Another entry VM has made all the attempts that it may.
  if (!attempt_.is_handed_on && IsTransientFailure(attempt_.head.status)) {
    AfterAttempt(attempt_end::kFailed, "endpoint_failure");
  } else if (!ReturnToLate()) {
    ForwardBuffered();
  }
}

void proxied_call::OnFailure(call_failure failure) {
  const steady_time now = environment_.clock();
  const auto self = shared_from_this();
  const bool was_sent = state_ != state::kConnecting && attempt_.connection &&
                        attempt_.connection->has_sent();
  // A kept connection turned out to be closed before any byte was written.
  if (state_ == state::kAwaitingHead && !was_sent) sent_ -= attempt_.granted;
  if (endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint)) {
    endpoint->OnConnectionFailure(now);
  }
  if (attempt_.is_handed_on) {
    environment_.relays->OnUnavailable(attempt_.endpoint.value(), now);
  } else if (failure == call_failure::kNotConnected) {
    if (now - attempt_.started > kConnectTimeout) {
      pool_->reach().OnConnectTimeout(attempt_.endpoint);
    } else {
      ++refused_connections_;
    }
  }
  if (was_sent && attempt_.is_handed_on) {
    ++relays_lost_;
    environment_.metrics->CountRelayLost();
  }
  // Other idle connections to the endpoint may be dead as well. Opening a new
  // one reveals this before anything is sent, so that another endpoint can be
  // tried.
  Connections(attempt_).Drop(attempt_.endpoint);
  if (failure != call_failure::kBroken) RecordDroppedCall(attempt_);
  DropConnection(attempt_);
  if (was_sent) may_have_run_ = true;
  if (was_sent && failure == call_failure::kBroken) {
    OnBrokenAnswer();
    return;
  }
  AfterAttempt(was_sent ? attempt_end::kUnknown : attempt_end::kNotSent,
               CallFailureText(failure));
}

void proxied_call::AfterAttempt(attempt_end end, std::string_view cause) {
  if (is_done()) return;
  const steady_time now = environment_.clock();
  events_.DropRest();
  attempt_facts facts;
  facts.end = end;
  // Which software goes on with a stream is known to the other VM only.
  facts.is_repeatable = route_->IsRepeatable() &&
                        !(attempt_.is_handed_on && response_started_) &&
                        !HasUnnumberedEvents();
  facts.response_started = response_started_;
  facts.sent = sent_;
  facts.max_attempts = route_->max_attempts;
  facts.may_have_run = may_have_run_;
  facts.may_crash_endpoints = !MayRepeat(now);
  facts.has_time = now < deadline_;
  const attempt_step step = NextStep(facts, [this, now] {
    return std::exchange(has_retry_, false) || TakeRetry(now);
  });
  const bool returns_to_late =
      step != attempt_step::kTryAgain && !late_attempts_.empty();
  LogStep("attempt_ended",
          log_fields()
              .Add("endpoint", attempt_.endpoint.value())
              .Add("cause", cause)
              .Add("status", attempt_.head.status)
              .Add("took_ms", MillisOf(now - attempt_.started))
              .Add("next",
                   returns_to_late ? "return_to_late" : AttemptStepText(step)));
  if (returns_to_late) {
    ReturnToLate();
    return;
  }
  switch (step) {
    case attempt_step::kTryAgain:
      Attempt();
      return;
    case attempt_step::kRefuse:
      Refuse(cause, kFailedRetryMs);
      return;
    case attempt_step::kPassOn:
      ForwardBuffered();
      return;
    case attempt_step::kFail:
    case attempt_step::kCutOff:
      Fail(cause);
      return;
  }
}

}  // namespace marjoramsill
