#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "connection/caller_connection.h"
#include "connection/endpoint_call_hooks.h"
#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/entry/call_environment.h"
#include "process/entry/entry_metrics.h"
#include "process/placement/endpoint_pool.h"
#include "request/forwarded_head.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxEnginePriority = 9;

/// The engine's queue serves lower numbers first. Every other number is left
/// free for ranks in between.
int EnginePriority(int rank) {
  return std::min(2 * std::max(rank, 0) + 1, kMaxEnginePriority);
}

}  // namespace

void proxied_call::OpenConnection(const placement_choice& choice) {
  CountRequest();
  ResetAttempt(choice.endpoint->record().id);
  attempt_.fetch_from = choice.fetch_from;
  limits_.tried.push_back(attempt_.endpoint);
  attempt_.software = DigestOfSoftware(choice.endpoint->record());
  choice.endpoint->OnCallStart(attempt_.started);
  attempt_.is_counted = true;
  attempt_.estimated_load = choice.load;
  attempt_.estimate_age_ms = choice.load_age_ms;
  attempt_.usual_ms = choice.usual_ms;
  Connect(choice.endpoint->record().address);
}

void proxied_call::ResetAttempt(endpoint_id target) {
  attempt_ = endpoint_attempt();
  attempt_.endpoint = std::move(target);
  attempt_.started = environment_.clock();
  attempt_.last_progress = attempt_.started;
  attempt_.replacement_retry_at = attempt_.started;
  // The account would otherwise hold the bytes of the attempt before until the
  // next response, and the connection could be closed for them.
  caller_->memory().Set(memory_kind::kEndpointResponses, 0);
}

void proxied_call::Connect(const std::string& address) {
  // A response to a request without an id can only be distinguished from
  // one to an earlier request by its connection.
  if (!request_id_.empty()) {
    attempt_.connection = Connections(attempt_).TakeIdle(
        attempt_.endpoint, !route_->IsRepeatable(), attempt_.started);
  }
  if (attempt_.connection) {
    SendWhenRecorded();
    return;
  }
  state_ = state::kConnecting;
  environment_.metrics->CountConnection();
  attempt_.connection = Connections(attempt_).Open(attempt_.endpoint, address);
  attempt_.connection->Connect(
      [self = weak_from_this(),
       opened = attempt_.connection.get()](bool connected) {
        const auto call = self.lock();
        if (call && call->attempt_.connection.get() == opened) {
          call->OnConnected(connected);
        }
      });
}

void proxied_call::OnConnected(bool connected) {
  if (state_ != state::kConnecting) return;
  if (!connected) {
    OnFailure(call_failure::kNotConnected);
    return;
  }
  if (!attempt_.is_handed_on) pool_->reach().OnConnected();
  attempt_.connection->set_opened_at(environment_.clock());
  SendWhenRecorded();
}

std::string proxied_call::RequestBytes() const {
  const request_dialect& dialect = environment_.dialect;
  std::string bytes;
  bytes.reserve(1024 + message_.body.size());
  bytes += message_.method;
  bytes += ' ';
  bytes += message_.target;
  bytes += " HTTP/1.1\r\n";
  const bool resumes = !events_.last_id().empty();
  bytes += ForwardedLines(message_.fields, dialect, !resumes);
  if (resumes) AppendField(bytes, dialect.last_event_id, events_.last_id());
  const auto remaining = std::chrono::duration_cast<milliseconds>(
      deadline_ - environment_.clock());
  AppendField(bytes, dialect.remaining_ms,
              std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  AppendField(bytes, dialect.endpoint, attempt_.endpoint.value());
  if (workspace_ != nullptr) {
    AppendField(bytes, dialect.workspace, workspace_->id.value());
  }
  if (route_->uses_prefix_cache) {
    AppendField(bytes, dialect.engine_priority,
                std::to_string(EnginePriority(Rank())));
  }
  if (!attempt_.fetch_from.empty()) {
    AppendField(bytes, dialect.cache_source, attempt_.fetch_from);
  }
  const bool has_body = !message_.body.empty() || message_.method != "GET";
  if (has_body) {
    AppendField(bytes, "Content-Length", std::to_string(message_.body.size()));
  }
  bytes += "\r\n";
  bytes += message_.body;
  return bytes;
}

void proxied_call::Send() {
  state_ = state::kAwaitingHead;
  sent_ += attempt_.granted;
  has_retry_ = false;
  attempt_.last_progress = environment_.clock();
  attempt_.sent_at = attempt_.last_progress;
  environment_.metrics->CountAttempt();
  if (endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint)) {
    endpoint->prefixes().Record(demand_.parts);
    endpoint->OnRequestSent(attempt_.last_progress);
  }
  const auto self = shared_from_this();
  const auto connection = attempt_.connection;
  connection->Send(attempt_.is_handed_on ? HandedOnBytes() : RequestBytes(),
                   message_.method == "HEAD", CallHooks());
}

/// This call owns the connection, which releases the hooks when it is closed.
/// The hooks may therefore use `this`.
endpoint_call_hooks proxied_call::CallHooks() {
  const endpoint_connection* connection = attempt_.connection.get();
  endpoint_call_hooks hooks;
  hooks.accepts = [this, connection](const endpoint_response_head& head) {
    const late_iterator late = FindLate(connection);
    const endpoint_attempt& attempt =
        late == late_attempts_.end() ? attempt_ : late->attempt;
    const bool matches = MatchesRequest(attempt, head);
    if (!matches) OnOtherResponse(attempt, head);
    return matches;
  };
  hooks.on_head = [this, connection](const endpoint_response_head& head) {
    const late_iterator late = FindLate(connection);
    late == late_attempts_.end() ? OnHead(head) : OnLateHead(late, head);
  };
  hooks.on_body = [this, connection](std::string_view data) {
    const late_iterator late = FindLate(connection);
    late == late_attempts_.end() ? OnBody(data) : OnLateBody(late, data);
  };
  hooks.on_read_end = [this] { OnReadEnd(); };
  hooks.on_end = [this, connection] {
    const late_iterator late = FindLate(connection);
    late == late_attempts_.end() ? OnEnd() : OnLateEnd(late);
  };
  hooks.on_failure = [this, connection](call_failure failure) {
    const late_iterator late = FindLate(connection);
    late == late_attempts_.end() ? OnFailure(failure)
                                 : OnLateFailure(late, failure);
  };
  return hooks;
}

}  // namespace marjoramsill
