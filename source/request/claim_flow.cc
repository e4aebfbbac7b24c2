#include "request/claim_flow.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "process/claims/claim_bounds.h"
#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"

namespace marjoramsill {
namespace {

// Headers that describe the stored body, or the location of the result.
constexpr std::array<std::string_view, 7> kStoredHeaders = {
    "content-type", "content-language", "content-encoding", "location",
    "etag",         "last-modified",    "cache-control"};

bool IsStoredHeader(const std::string& name) {
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return std::find(kStoredHeaders.begin(), kStoredHeaders.end(), lower) !=
         kStoredHeaders.end();
}

}  // namespace

stored_response MakeStoredResponse(const complete_response& response) {
  stored_response stored;
  stored.status = response.status;
  for (const auto& field : response.headers) {
    if (stored.headers.size() < kMaxStoredHeaders &&
        field.second.size() <= kMaxStoredHeaderBytes &&
        IsStoredHeader(field.first)) {
      stored.headers.push_back(field);
    }
  }
  stored.body_size = response.body.size();
  stored.body_hash = HashContent(response.body);
  if (response.body.size() <= kMaxStoredBodyBytes) {
    stored.body = response.body;
  } else {
    DropBody(stored);
  }
  return stored;
}

claim_flow::claim_flow(claim_flow_settings settings, call_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

call_actions claim_flow::Start(steady_time now) {
  call_actions actions;
  if (phase_ != phase::kNew) return actions;
  phase_ = phase::kClaiming;
  claim_deadline_ = std::min(now + settings_.claim_timeout,
                             settings_.deadline - settings_.min_remaining_time);
  if (claim_deadline_ <= now) {
    DeliverFailure(failure_kind::kDeadlineExceeded, execution_status::kNotRun,
                   settings_.retry_after, actions);
    End(actions);
    return actions;
  }
  SendClaim(now, actions);
  return actions;
}

claim_command claim_flow::Command(claim_command_kind kind) const {
  claim_command command;
  command.kind = kind;
  command.key = settings_.key;
  command.owner = settings_.owner;
  command.request_hash = settings_.request_hash;
  return command;
}

void claim_flow::SendClaim(steady_time now, call_actions& actions) {
  claim_command command = Command(claim_command_kind::kClaim);
  // Rounded up, so that the claim table's deadline is never before this one.
  command.deadline_in = std::min(
      kMaxClaimDeadline,
      std::chrono::ceil<std::chrono::milliseconds>(settings_.deadline - now));
  actions.emplace_back(send_claim{std::move(command)});
  claim_sent_ = true;
  WakeAt(claim_deadline_, actions);
}

void claim_flow::WakeAt(steady_time at, call_actions& actions) {
  wake_time_ = at;
  actions.emplace_back(wake_at{at});
}

call_actions claim_flow::OnClaimUnavailable(steady_time now) {
  call_actions actions;
  if (phase_ == phase::kClaiming) {
    claim_sent_ = false;
    WakeAt(std::min(now + settings_.resend_delay, claim_deadline_), actions);
  }
  return actions;
}

call_actions claim_flow::OnClaimResponse(const claim_response& reply,
                                         steady_time now) {
  call_actions actions;
  if (reply.incarnation != settings_.owner.incarnation ||
      reply.serial != settings_.owner.serial) {
    return actions;
  }
  if (phase_ == phase::kClaiming && reply.kind == claim_command_kind::kClaim) {
    HandleClaimOutcome(reply, now, actions);
  } else if (abandoned_ && reply.kind == claim_command_kind::kClaim &&
             reply.outcome == claim_outcome::kGranted) {
    // The grant arrived after the claim was given up. Release it again, since
    // the first release may have been lost.
    actions.emplace_back(send_claim{Command(claim_command_kind::kRelease)});
  } else if (phase_ == phase::kReportingOutcome && outcome_ &&
             reply.kind == outcome_->kind) {
    End(actions);
  }
  return actions;
}

void claim_flow::HandleClaimOutcome(const claim_response& reply,
                                    steady_time now, call_actions& actions) {
  switch (reply.outcome) {
    case claim_outcome::kGranted:
      if (now >= claim_deadline_) {
        ReleaseUnsent(failure_kind::kClaimUnavailable, now, actions);
      } else {
        phase_ = phase::kAttempting;
        TryEndpoint(now, actions);
      }
      return;
    case claim_outcome::kInProgress:
      DeliverFailure(failure_kind::kInProgress,
                     execution_status::kOutcomeUnknown, settings_.retry_after,
                     actions);
      break;
    case claim_outcome::kOutcomeUnknown:
      DeliverFailure(failure_kind::kOutcomeUnknown,
                     execution_status::kOutcomeUnknown, std::chrono::seconds(0),
                     actions);
      break;
    case claim_outcome::kFinished:
      if (!reply.response) return;
      DeliverStored(*reply.response, actions);
      break;
    case claim_outcome::kKeyReused:
      DeliverFailure(failure_kind::kKeyReused, execution_status::kNotRun,
                     std::chrono::seconds(0), actions);
      break;
    case claim_outcome::kClaimReleased:
      DeliverFailure(failure_kind::kClaimUnavailable, execution_status::kNotRun,
                     settings_.retry_after, actions);
      break;
    case claim_outcome::kFull:
      DeliverFailure(failure_kind::kClaimsFull, execution_status::kNotRun,
                     settings_.retry_after, actions);
      break;
    case claim_outcome::kDone:
    case claim_outcome::kNotOwner:
    case claim_outcome::kAbsent:
      return;  // Not a response to a claim; the claim's timer stays set.
  }
  abandoned_ = true;  // A resent claim may still be granted; release it then.
  End(actions);
}

void claim_flow::TryEndpoint(steady_time now, call_actions& actions) {
  attempt_ = attempt_id();
  if (now >= settings_.deadline) {
    ReleaseUnsent(failure_kind::kDeadlineExceeded, now, actions);
    return;
  }
  std::optional<endpoint_id> endpoint;
  if (tried_.size() < settings_.max_endpoints) endpoint = hooks_.choose(tried_);
  const bool first = tried_.empty();
  if (!endpoint || (!first && !hooks_.budget->TakeExtraAttempt())) {
    ReleaseUnsent(
        first ? failure_kind::kNoEndpoint : failure_kind::kEndpointFailed, now,
        actions);
    return;
  }
  if (first) hooks_.budget->CountFirstAttempt();
  tried_.push_back(*endpoint);
  attempt_ = hooks_.next_attempt();
  start_attempt start;
  start.attempt = attempt_;
  start.endpoint = *endpoint;
  start.kind = first ? attempt_kind::kFirst : attempt_kind::kRetry;
  start.deadline = settings_.deadline;
  start.fresh_connection = true;
  actions.emplace_back(std::move(start));
  WakeAt(settings_.deadline, actions);
}

bool claim_flow::IsCurrent(const attempt_id& attempt) const {
  return phase_ == phase::kAttempting && !attempt.empty() &&
         attempt == attempt_;
}

bool claim_flow::ConfirmSend(const attempt_id& attempt, steady_time now) {
  if (!IsCurrent(attempt) || sent_) return false;
  if (now + settings_.min_remaining_time > settings_.deadline) return false;
  sent_ = true;
  return true;
}

call_actions claim_flow::OnHead(const attempt_id& attempt,
                                const response_head& head, steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt) || !sent_ || body_) return actions;
  // If only the end of the connection marks the end of the body, truncation
  // cannot be detected.
  if (head.echoed != attempt_ || head.status < 200 || head.status > 599 ||
      head.framing == body_framing::kUntilClose) {
    MarkOutcomeUnknown(failure_kind::kResponseLost, now, actions);
  } else {
    body_.emplace(head, settings_.max_body_bytes);
  }
  return actions;
}

call_actions claim_flow::OnData(const attempt_id& attempt,
                                std::string_view bytes, steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt) || !body_) return actions;
  const auto added = body_->Add(bytes);
  if (!added) {
    MarkOutcomeUnknown(added.error() == body_error::kTooLarge
                           ? failure_kind::kResponseTooLarge
                           : failure_kind::kResponseLost,
                       now, actions);
  }
  return actions;
}

call_actions claim_flow::OnEnd(const attempt_id& attempt, steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt)) return actions;
  if (!body_) return OnFailure(attempt, now);
  auto response = body_->Finish();
  if (!response) {
    MarkOutcomeUnknown(failure_kind::kResponseLost, now, actions);
    return actions;
  }
  attempt_ = attempt_id();
  claim_command finish = Command(claim_command_kind::kFinish);
  finish.response = MakeStoredResponse(response.value());
  if (!std::exchange(responded_, true)) {
    actions.emplace_back(deliver_response{std::move(response.value())});
  }
  ReportOutcome(std::move(finish), now, actions);
  return actions;
}

call_actions claim_flow::OnFailure(const attempt_id& attempt, steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt)) return actions;
  attempt_ = attempt_id();  // Its connection is already closed.
  if (sent_) {
    MarkOutcomeUnknown(failure_kind::kResponseLost, now, actions);
  } else {
    // No byte was sent and the claim is still held, so another endpoint may run
    // the request without a new claim.
    TryEndpoint(now, actions);
  }
  return actions;
}

call_actions claim_flow::OnTimer(steady_time now) {
  call_actions actions;
  if (phase_ == phase::kNew || phase_ == phase::kEnded) return actions;
  if (now < wake_time_) {
    WakeAt(wake_time_, actions);
    return actions;
  }
  if (phase_ == phase::kClaiming) {
    if (now >= claim_deadline_) {
      ReleaseUnsent(failure_kind::kClaimUnavailable, now, actions);
    } else if (!claim_sent_) {
      SendClaim(now, actions);
    }
  } else if (phase_ == phase::kAttempting) {
    if (sent_) {
      MarkOutcomeUnknown(failure_kind::kDeadlineExceeded, now, actions);
    } else {
      ReleaseUnsent(failure_kind::kDeadlineExceeded, now, actions);
    }
  } else if (now >= report_deadline_) {
    End(actions);
  } else {
    SendOutcome(now, actions);
  }
  return actions;
}

call_actions claim_flow::OnCallerDisconnected(steady_time now) {
  call_actions actions;
  responded_ = true;
  if (phase_ == phase::kNew) {
    End(actions);
  } else if (phase_ == phase::kClaiming ||
             (phase_ == phase::kAttempting && !sent_)) {
    ReleaseUnsent(failure_kind::kClaimUnavailable, now, actions);
  }
  return actions;
}

void claim_flow::CancelCurrent(call_actions& actions) {
  if (attempt_.empty()) return;
  actions.emplace_back(cancel_attempt{attempt_});
  attempt_ = attempt_id();
}

void claim_flow::ReleaseUnsent(failure_kind kind, steady_time now,
                               call_actions& actions) {
  CancelCurrent(actions);
  DeliverFailure(kind, execution_status::kNotRun, settings_.retry_after,
                 actions);
  abandoned_ = true;
  ReportOutcome(Command(claim_command_kind::kRelease), now, actions);
}

void claim_flow::MarkOutcomeUnknown(failure_kind kind, steady_time now,
                                    call_actions& actions) {
  CancelCurrent(actions);
  DeliverFailure(kind, execution_status::kOutcomeUnknown,
                 std::chrono::seconds(0), actions);
  ReportOutcome(Command(claim_command_kind::kMarkUnknown), now, actions);
}

void claim_flow::DeliverStored(const stored_response& response,
                               call_actions& actions) {
  if (std::exchange(responded_, true)) return;
  if (response.body_kept) {
    actions.emplace_back(deliver_response{
        complete_response{response.status, response.headers, response.body}});
    return;
  }
  final_failure failure;
  failure.kind = failure_kind::kResponseNotStored;
  failure.run = execution_status::kRun;
  failure.stored_status = response.status;
  failure.stored_body_size = response.body_size;
  failure.stored_body_hash = response.body_hash;
  actions.emplace_back(deliver_failure{failure});
}

void claim_flow::DeliverFailure(failure_kind kind, execution_status run,
                                std::chrono::seconds retry_after,
                                call_actions& actions) {
  if (std::exchange(responded_, true)) return;
  final_failure failure;
  failure.kind = kind;
  failure.run = run;
  if (retry_after.count() > 0) {
    failure.retry_after = JitteredRetryAfter(retry_after, hooks_.random);
  }
  actions.emplace_back(deliver_failure{failure});
}

void claim_flow::ReportOutcome(claim_command command, steady_time now,
                               call_actions& actions) {
  phase_ = phase::kReportingOutcome;
  body_.reset();
  outcome_ = std::move(command);
  report_deadline_ = now + settings_.outcome_resend_timeout;
  resend_delay_ = settings_.resend_delay;
  SendOutcome(now, actions);
}

void claim_flow::SendOutcome(steady_time now, call_actions& actions) {
  actions.emplace_back(send_claim{*outcome_});
  WakeAt(std::min(now + resend_delay_, report_deadline_), actions);
  resend_delay_ *= 2;
}

void claim_flow::End(call_actions& actions) {
  phase_ = phase::kEnded;
  actions.emplace_back(end_call{});
}

}  // namespace marjoramsill
