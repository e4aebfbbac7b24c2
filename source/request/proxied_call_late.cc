#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string_view>
#include <utility>

#include "connection/caller_connection.h"
#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/entry/call_environment.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/log_fields.h"
#include "process/entry/request_content.h"
#include "process/placement/endpoint_pool.h"
#include "request/http_status.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

// Late attempts. A sound endpoint may be silent for a while, and another one
// may not run the request, so the late attempt is closed only once the other
// one has begun to answer.

namespace marjoramsill {
namespace {

/// The endpoint has refused the request or failed it.
bool IsUnsuccessful(const endpoint_attempt& attempt) {
  return attempt.is_rejected || !IsSuccessStatus(attempt.head.status);
}

}  // namespace

void proxied_call::ReplaceLateAttempt(steady_time now) {
  const auto self = shared_from_this();
  LogStep("attempt_late",
          log_fields()
              .Add("endpoint", attempt_.endpoint.value())
              .Add("status", attempt_.head.status)
              .Add("silent_ms", MillisOf(now - attempt_.last_progress)));
  environment_.metrics->CountLateAttempt();
  if (endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint)) {
    endpoint->OnConnectionFailure(now);
  }
  Connections(attempt_).Drop(attempt_.endpoint);
  may_have_run_ = true;
  late_attempts_.push_back(
      {std::move(attempt_), events_, "", events_.scanner()});
  attempt_ = endpoint_attempt();
  events_.DropRest();
  Attempt();
}

proxied_call::late_iterator proxied_call::FindLate(
    const endpoint_connection* connection) {
  return std::find_if(late_attempts_.begin(), late_attempts_.end(),
                      [connection](const late_attempt& late) {
                        return late.attempt.connection.get() == connection;
                      });
}

void proxied_call::OnLateHead(late_iterator late,
                              const endpoint_response_head& head) {
  RecordHead(late->attempt, head);
  if (IsUnsuccessful(late->attempt)) return;
  if (!IsAnswerStart(head)) {
    OnLateFailure(late, call_failure::kMalformed);
    return;
  }
  late->attempt.is_stream = route_->kind == route_kind::kStreaming;
  if (!late->attempt.is_stream) GoOnWithLate(late);
}

void proxied_call::OnLateBody(late_iterator late, std::string_view data) {
  endpoint_attempt& attempt = late->attempt;
  RecordActivity(attempt);
  if (IsUnsuccessful(attempt)) return;
  late->held += data;
  CountHeldBytes();
  if (late->held.size() > kMaxHeldBytes) {
    OnLateFailure(late, call_failure::kMalformed);
    return;
  }
  const std::uint64_t events = late->scanner.event_count();
  late->scanner.Read(data);
  const bool has_progress = attempt.is_stream
                                ? late->scanner.event_count() > events
                                : late->held.size() >= kMinProgressBytes;
  if (has_progress) GoOnWithLate(late);
}

void proxied_call::OnLateEnd(late_iterator late) {
  const auto self = shared_from_this();
  if (!IsUnsuccessful(late->attempt)) {
    const auto connection = late->attempt.connection;
    GoOnWithLate(late);
    // The held bytes may have made the attempt fail.
    if (attempt_.connection == connection) OnEnd();
    return;
  }
  endpoint_estimate* endpoint = pool_->Find(late->attempt.endpoint);
  RecordUnsuccessfulEnd(late->attempt, endpoint);
  LogLateEnd(late->attempt, "endpoint_failure");
  LeaveConnection(late->attempt);
  late_attempts_.erase(late);
}

void proxied_call::OnLateFailure(late_iterator late, call_failure failure) {
  endpoint_estimate* endpoint = pool_->Find(late->attempt.endpoint);
  if (endpoint != nullptr) endpoint->OnConnectionFailure(environment_.clock());
  if (failure != call_failure::kBroken) RecordDroppedCall(late->attempt);
  if (endpoint != nullptr && failure == call_failure::kBroken) {
    LogBrokenAnswer(late->attempt);
    // A further attempt may carry the cause to the next endpoint.
    environment_.check_end(
        endpoint->record(), Content(),
        [self = weak_from_this()](endpoint_end_finding finding) {
          const auto call = self.lock();
          if (call && finding != endpoint_end_finding::kAlive) {
            call->endpoint_ended_ = true;
          }
        });
  }
  LogLateEnd(late->attempt, CallFailureText(failure));
  DropConnection(late->attempt);
  late_attempts_.erase(late);
}

void proxied_call::GoOnWithLate(late_iterator late) {
  const auto self = shared_from_this();
  LogStep("late_attempt_goes_on",
          log_fields().Add("endpoint", late->attempt.endpoint.value()));
  environment_.metrics->CountLateAttemptGoingOn();
  RecordDroppedCall(attempt_);
  DropConnection(attempt_);
  late_attempt chosen = std::move(*late);
  late_attempts_.erase(late);
  attempt_ = std::move(chosen.attempt);
  events_ = std::move(chosen.events);
  state_ = attempt_.head.status == 0 ? state::kAwaitingHead : state::kReceiving;
  if (!chosen.held.empty()) OnBody(chosen.held);
}

bool proxied_call::ReturnToLate() {
  if (late_attempts_.empty()) return false;
  has_failed_replacement_ = true;
  GoOnWithLate(std::prev(late_attempts_.end()));
  return true;
}

void proxied_call::CloseLateAttempts(std::string_view cause) {
  for (late_attempt& late : late_attempts_) {
    LogLateEnd(late.attempt, cause);
    RecordDroppedCall(late.attempt);
    DropConnection(late.attempt);
  }
  late_attempts_.clear();
}

void proxied_call::CountHeldBytes() {
  std::size_t held = attempt_.body.size() + events_.rest().size();
  for (const late_attempt& late : late_attempts_) {
    held +=
        late.held.size() + late.attempt.body.size() + late.events.rest().size();
  }
  caller_->memory().Set(memory_kind::kEndpointResponses, held);
}

}  // namespace marjoramsill
