#include "connection/call_failure.h"
#include "connection/endpoint_connection.h"
#include "process/entry/call_environment.h"
#include "process/entry/content_breaker.h"
#include "process/placement/endpoint_pool.h"
#include "request/http_status.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {

void proxied_call::OnEnd() {
  const bool is_success =
      !attempt_.is_rejected && IsSuccessStatus(attempt_.head.status);
  if (!is_success) {
    OnCompleteAnswer();
  } else if (!attempt_.head.ends_with_connection) {
    OnFramedEnd();
  } else if (IsBrokenOff() || !attempt_.connection->is_request_received()) {
    LogUnframedAnswer("unasked", true);
    OnFailure(call_failure::kBroken);
  } else {
    ConfirmEnd();
  }
}

/// The framing of an answer is that of its endpoint, which may end it in the
/// middle of an event.
void proxied_call::OnFramedEnd() {
  if (IsInsideEvent()) {
    OnFailure(call_failure::kBroken);
  } else {
    OnCompleteAnswer();
  }
}

/// The content of an answer that has neither a length nor chunks cannot tell
/// whether its endpoint finished it or ended between two events.
void proxied_call::ConfirmEnd() {
  state_ = state::kConfirmingEnd;
  may_have_run_ = true;
  OnReadEnd();
  const endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint);
  if (endpoint == nullptr) {
    OnEndFinding(endpoint_end_finding::kUnknown);
    return;
  }
  environment_.find_end(endpoint->record(), [self = weak_from_this()](
                                                endpoint_end_finding finding) {
    if (const auto call = self.lock()) call->OnEndFinding(finding);
  });
}

void proxied_call::OnEndFinding(endpoint_end_finding finding) {
  if (state_ != state::kConfirmingEnd) return;
  const bool is_alive = finding == endpoint_end_finding::kAlive;
  LogUnframedAnswer(EndFindingText(finding), !is_alive);
  if (is_alive) {
    OnCompleteAnswer();
  } else {
    OnFailure(call_failure::kBroken);
  }
}

/// An endpoint may break off an answer and go on. If it has ended, a further
/// attempt may carry the cause to the next one.
void proxied_call::OnBrokenAnswer() {
  LogBrokenAnswer(attempt_);
  const endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint);
  if (endpoint == nullptr) {
    // Another VM that has ended itself sends no head.
    endpoint_ended_ =
        endpoint_ended_ || !attempt_.is_handed_on || attempt_.head.status != 0;
    AfterAttempt(attempt_end::kUnknown, CallFailureText(call_failure::kBroken));
    return;
  }
  if (!HasAttemptLeft()) {
    environment_.check_end(endpoint->record(), Content(), nullptr);
    AfterAttempt(attempt_end::kUnknown, CallFailureText(call_failure::kBroken));
    return;
  }
  state_ = state::kCheckingEndpoint;
  environment_.check_end(
      endpoint->record(), Content(),
      [self = weak_from_this()](endpoint_end_finding finding) {
        const auto call = self.lock();
        if (call) call->OnEndpointChecked(finding);
      });
}

void proxied_call::OnEndpointChecked(endpoint_end_finding finding) {
  if (state_ != state::kCheckingEndpoint) return;
  if (finding != endpoint_end_finding::kAlive) endpoint_ended_ = true;
  AfterAttempt(attempt_end::kUnknown, CallFailureText(call_failure::kBroken));
}

bool proxied_call::HasAttemptLeft() const {
  return route_->IsRepeatable() && sent_ < route_->max_attempts;
}

bool proxied_call::MayRepeat(steady_time now) const {
  const content_breaker& contents = *environment_.contents;
  if (!endpoint_ended_ && !contents.HasFaults()) return true;
  return contents.MayRepeat(Content(), endpoint_ended_, now);
}

/// An answer that ends with its connection may have been broken off between two
/// events, by an endpoint that crashed.
void proxied_call::RecordAnswer(const endpoint_estimate* endpoint,
                                steady_time now) {
  content_breaker& contents = *environment_.contents;
  if (demand_.parts.empty() && !contents.HasFaults()) return;
  if (!attempt_.head.ends_with_connection) {
    contents.RecordAnswer(Content(), now);
  } else if (endpoint != nullptr) {
    environment_.check_end(endpoint->record(), Content(), nullptr);
  }
}

}  // namespace marjoramsill
