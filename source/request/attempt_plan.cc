#include "request/attempt_plan.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::microseconds;

// Multiples of the rank's latency targets after which an endpoint is considered
// stuck. Queueing and pauses of a healthy engine stay below them.
constexpr int kFirstEventMultiple = 8;
constexpr int kBetweenEventsMultiple = 40;
// No attempt is started with less time than this to the deadline.
constexpr microseconds kMinAttemptTime = std::chrono::milliseconds(10);

bool IsRetryableStatus(std::uint16_t status) {
  return status < 200 || status >= 500 || status == 408 || status == 429;
}

}  // namespace

attempt_timeouts DeriveAttemptTimeouts(const attempt_settings& settings,
                                       microseconds remaining) {
  const microseconds half = std::max(remaining / 2, kMinAttemptTime);
  // The targets concern events, which a response that is not streamed lacks.
  attempt_timeouts timeouts{half, half};
  if (!settings.streamed) return timeouts;
  // Close to the deadline another attempt would come too late, so the current
  // one gets all of the remaining time.
  timeouts.first_event =
      half < settings.first_event_target
          ? remaining
          : std::min(half, settings.first_event_target * kFirstEventMultiple);
  timeouts.between_events =
      settings.between_events_target * kBetweenEventsMultiple;
  if (timeouts.between_events > half) timeouts.between_events = remaining;
  return timeouts;
}

attempt_plan::attempt_plan(attempt_settings settings, call_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)) {}

call_actions attempt_plan::Start(steady_time now) {
  call_actions actions;
  if (ended_ || attempts_ > 0) return actions;
  if (settings_.deadline - now < kMinAttemptTime) {
    GiveUp(failure_kind::kDeadlineExceeded, actions);
    return actions;
  }
  const auto endpoint = hooks_.choose(tried_);
  if (!endpoint) {
    GiveUp(failure_kind::kNoEndpoint, actions);
    return actions;
  }
  hooks_.budget->CountFirstAttempt();
  Launch({attempt_kind::kFirst, *endpoint}, now, actions);
  return actions;
}

bool attempt_plan::IsCurrent(const attempt_id& attempt) const {
  return !ended_ && !attempt.empty() && attempt == current_;
}

std::optional<attempt_plan::next_attempt> attempt_plan::ChooseNext(
    bool prefer_resume) const {
  // Do not resume again from an endpoint whose last attempt delivered no event.
  std::optional<next_attempt> resume;
  if (relay_.events() > events_at_launch_) {
    resume = next_attempt{attempt_kind::kResume, endpoint_};
  }
  if (prefer_resume && resume) return resume;
  if (!relay_.delivered() || relay_.can_replay()) {
    const auto endpoint = hooks_.choose(tried_);
    const attempt_kind kind =
        relay_.delivered() ? attempt_kind::kReplay : attempt_kind::kRetry;
    if (endpoint) return next_attempt{kind, *endpoint};
  }
  return resume;
}

bool attempt_plan::TryAnotherAttempt(bool prefer_resume, steady_time now,
                                     call_actions& actions) {
  if (attempts_ >= settings_.max_attempts) return false;
  if (settings_.deadline - now < kMinAttemptTime) return false;
  const auto next = ChooseNext(prefer_resume);
  if (!next || !hooks_.budget->TakeExtraAttempt()) return false;
  CancelCurrent(actions);
  Launch(*next, now, actions);
  return true;
}

void attempt_plan::Launch(const next_attempt& next, steady_time now,
                          call_actions& actions) {
  ++attempts_;
  current_ = hooks_.next_attempt();
  kind_ = next.kind;
  endpoint_ = next.endpoint;
  head_.reset();
  body_.reset();
  start_attempt start;
  start.attempt = current_;
  start.endpoint = endpoint_;
  start.kind = kind_;
  start.deadline = settings_.deadline;
  if (kind_ == attempt_kind::kResume) {
    relay_.ResumeStream();
    start.resume_attempt = stream_attempt_;
    start.resume_offset = relay_.events();
  } else {
    tried_.push_back(endpoint_);
    relay_.BeginStream();
    stream_attempt_ = current_;
    if (kind_ == attempt_kind::kReplay) start.text_so_far = relay_.text();
  }
  events_at_launch_ = relay_.events();
  actions.emplace_back(std::move(start));
  ArmTimer(
      DeriveAttemptTimeouts(settings_, settings_.deadline - now).first_event,
      now, actions);
}

void attempt_plan::Recover(failure_kind reason, bool prefer_resume,
                           steady_time now, call_actions& actions) {
  if (!TryAnotherAttempt(prefer_resume, now, actions)) GiveUp(reason, actions);
}

void attempt_plan::GiveUp(failure_kind reason, call_actions& actions) {
  CancelCurrent(actions);
  if (relay_.delivered()) {
    actions.emplace_back(abort_delivery{reason});
  } else {
    final_failure failure;
    failure.kind = reason;
    failure.run =
        sent_ ? execution_status::kOutcomeUnknown : execution_status::kNotRun;
    failure.retry_after =
        JitteredRetryAfter(settings_.retry_after, hooks_.random);
    actions.emplace_back(deliver_failure{failure});
  }
  End(actions);
}

bool attempt_plan::ConfirmSend(const attempt_id& attempt, steady_time now) {
  if (!IsCurrent(attempt) || now >= settings_.deadline) return false;
  sent_ = true;
  return true;
}

bool attempt_plan::IsStreamHead(const response_head& head) const {
  if (head.status != 200) return false;
  // An endpoint that ignores X-Resume-Offset restarts from the first event, and
  // the caller would receive the text twice.
  return kind_ != attempt_kind::kResume ||
         head.resume_offset == relay_.events();
}

call_actions attempt_plan::OnHead(const attempt_id& attempt,
                                  const response_head& head, steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt) || head_) return actions;
  if (head.echoed != current_ || IsRetryableStatus(head.status)) {
    Recover(failure_kind::kEndpointFailed, false, now, actions);
    return actions;
  }
  if (settings_.streamed && IsStreamHead(head)) {
    head_ = head;
    return actions;
  }
  // A response that is not a stream cannot continue one. If only the end of the
  // connection marks the end of the body, truncation cannot be detected.
  if (relay_.delivered() || (settings_.streamed && head.status == 200) ||
      head.framing == body_framing::kUntilClose) {
    Recover(failure_kind::kEndpointFailed, false, now, actions);
    return actions;
  }
  head_ = head;
  body_.emplace(head, settings_.max_body_bytes);
  return actions;
}

call_actions attempt_plan::OnData(const attempt_id& attempt,
                                  std::string_view bytes, steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt) || !head_) return actions;
  if (!body_) {
    DeliverEvents(bytes, now, actions);
    return actions;
  }
  const auto added = body_->Add(bytes);
  if (added) return actions;
  if (added.error() == body_error::kTooLarge) {
    GiveUp(failure_kind::kResponseTooLarge, actions);
  } else {
    Recover(failure_kind::kEndpointFailed, false, now, actions);
  }
  return actions;
}

void attempt_plan::DeliverEvents(std::string_view bytes, steady_time now,
                                 call_actions& actions) {
  const std::uint64_t before = relay_.events();
  std::string output;
  const auto fed = relay_.Feed(bytes, output);
  if (!output.empty()) actions.emplace_back(deliver_bytes{std::move(output)});
  if (relay_.done()) {
    actions.emplace_back(end_delivery{});
    End(actions);
  } else if (!fed) {
    Recover(failure_kind::kEndpointFailed, false, now, actions);
  } else if (relay_.events() > before) {
    const auto timeouts =
        DeriveAttemptTimeouts(settings_, settings_.deadline - now);
    ArmTimer(timeouts.between_events, now, actions);
  }
}

call_actions attempt_plan::OnEnd(const attempt_id& attempt, steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt)) return actions;
  if (body_) {
    auto response = body_->Finish();
    if (response) {
      actions.emplace_back(deliver_response{std::move(response.value())});
      End(actions);
      return actions;
    }
  }
  return OnFailure(attempt, now);
}

call_actions attempt_plan::OnFailure(const attempt_id& attempt,
                                     steady_time now) {
  call_actions actions;
  if (!IsCurrent(attempt)) return actions;
  current_ = attempt_id();  // Its connection is already closed.
  Recover(failure_kind::kEndpointFailed, true, now, actions);
  return actions;
}

call_actions attempt_plan::OnTimer(steady_time now) {
  call_actions actions;
  if (ended_ || attempts_ == 0) return actions;
  if (now >= settings_.deadline) {
    GiveUp(failure_kind::kDeadlineExceeded, actions);
    return actions;
  }
  // If no other attempt is possible, let the slow one run until the deadline.
  if (now >= timeout_at_ && !TryAnotherAttempt(false, now, actions)) {
    timeout_at_ = settings_.deadline;
  }
  if (!ended_ && armed_at_ <= now) {
    armed_at_ = timeout_at_;
    actions.emplace_back(wake_at{armed_at_});
  }
  return actions;
}

call_actions attempt_plan::OnCallerDisconnected(steady_time) {
  call_actions actions;
  if (ended_) return actions;
  CancelCurrent(actions);
  End(actions);
  return actions;
}

// Keeps a timer that fires before the timeout: OnTimer() then sets the next
// one. This avoids moving the timer on every event.
void attempt_plan::ArmTimer(microseconds wait, steady_time now,
                            call_actions& actions) {
  timeout_at_ = std::min(now + wait, settings_.deadline);
  if (armed_at_ > now && armed_at_ <= timeout_at_) return;
  armed_at_ = timeout_at_;
  actions.emplace_back(wake_at{armed_at_});
}

void attempt_plan::CancelCurrent(call_actions& actions) {
  if (current_.empty()) return;
  actions.emplace_back(cancel_attempt{current_});
  current_ = attempt_id();
}

void attempt_plan::End(call_actions& actions) {
  ended_ = true;
  actions.emplace_back(end_call{});
}

}  // namespace marjoramsill
