#include "request/proxied_call.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "connection/caller_connection.h"
#include "connection/endpoint_connection.h"
#include "connection/large_buffer.h"
#include "process/daemon/event_log.h"
#include "process/directory/content_trial.h"
#include "process/entry/call_environment.h"
#include "process/entry/content_breaker.h"
#include "process/entry/decision_log.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/log_fields.h"
#include "process/entry/origin_finding.h"
#include "process/entry/stop_sequence.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/retry_window.h"
#include "request/http_field.h"
#include "request/http_status.h"
#include "request/request_digest.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

/// Limits of the Retry-After of a refusal.
constexpr double kMinRetryAfterMs = 100;
constexpr double kMaxRetryAfterMs = 5'000;
/// Retry-After while a newer document may exist. An election takes about this
/// time.
constexpr double kUnprovenRetryMs = 800;
/// Retry-After of a stream whose origin is not known here.
constexpr double kUnknownOriginRetryMs = 300;
/// Further steps of a request are not logged.
constexpr std::size_t kMaxLoggedSteps = 24;

std::optional<std::uint64_t> ReadNumber(const http_field* field) {
  if (field == nullptr) return std::nullopt;
  std::uint64_t number = 0;
  const char* end = field->value.data() + field->value.size();
  const auto [stop, error] = std::from_chars(field->value.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

std::string FormatSeconds(double milliseconds) {
  constexpr double kMillisPerSecond = 1'000;
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", milliseconds / kMillisPerSecond);
  return text;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

proxied_call::proxied_call(const call_environment& environment,
                           std::shared_ptr<caller_connection> caller,
                           caller_message message,
                           std::optional<relay_terms> terms)
    : environment_(environment),
      caller_(std::move(caller)),
      message_(std::move(message)),
      arrived_(environment.clock()),
      terms_(terms),
      return_position_(static_cast<double>(environment.random() % 1024) / 1024),
      sent_(terms_ ? terms_->sent : 0) {}

proxied_call::~proxied_call() {
  for (late_attempt& late : late_attempts_) DropConnection(late.attempt);
  DropConnection(attempt_);
}

void proxied_call::Start() {
  caller_->OnCallerDisconnected(
      [self = weak_from_this()](disconnect_cause cause) {
        if (const auto call = self.lock()) call->OnCallerDisconnected(cause);
      });
  const http_field* id =
      FindField(message_.fields, environment_.dialect.request_id);
  if (id != nullptr) request_id_ = id->value;
  caller_->SetRequestId(request_id_);
  const http_field* resumed =
      FindField(message_.fields, environment_.dialect.resumed_request);
  if (resumed != nullptr) resumed_request_ = resumed->value;
  if (MayServe()) table_ = environment_.table();
  if (terms_ && RefuseOtherDocument()) return;
  Admit();
}

bool proxied_call::MayServe() const {
  return !environment_.may_serve || environment_.may_serve();
}

void proxied_call::Admit() {
  if (!table_) {
    Refuse(kStartingReason, kStartingRetryMs);
    return;
  }
  if (!FindRoute() || !FindWorkspace()) return;
  SetDeadline();
  if (RefuseLate()) return;
  if (route_->uses_prefix_cache) {
    demand_ = environment_.dialect.read_demand(message_.fields);
  }
  if (terms_ && terms_->software) {
    limits_.software = terms_->software;
    BeginAttempts();
  } else if (ResumesStream()) {
    FindOrigin();
  } else {
    BeginAttempts();
  }
}

/// Another process can still run the request.
bool proxied_call::RefuseLate() {
  if (environment_.stop->CanTake(deadline_, terms_.has_value(), arrived_)) {
    return false;
  }
  if (terms_) {
    ReturnRelayed(kRelayUnavailable, "stopping");
  } else {
    Refuse("stopping", kMinRetryAfterMs);
  }
  return true;
}

bool proxied_call::ResumesStream() const {
  const http_field* last =
      FindField(message_.fields, environment_.dialect.last_event_id);
  return route_->kind == route_kind::kStreaming && last != nullptr &&
         !last->value.empty();
}

/// Only endpoints of the software version that began a stream may go on with
/// it. Without knowing the version the request is refused.
void proxied_call::FindOrigin() {
  state_ = state::kFindingOrigin;
  environment_.find_origin(
      resumed_request_, *route_,
      [self = weak_from_this()](const origin_finding& finding) {
        const auto call = self.lock();
        if (call) call->OnOrigin(finding);
      });
}

void proxied_call::OnOrigin(const origin_finding& finding) {
  if (state_ != state::kFindingOrigin) return;
  LogStep("stream_origin", log_fields()
                               .Add("resumes", resumed_request_)
                               .Add("found", finding.source));
  if (!finding.software) {
    Refuse("unknown_origin", kUnknownOriginRetryMs);
    return;
  }
  limits_.software = finding.software;
  BeginAttempts();
}

void proxied_call::BeginAttempts() {
  if (!environment_.contents->HasFaults()) {
    MakeFirstAttempt();
    return;
  }
  const auto refusal = environment_.contents->Admit(
      Content(), environment_.entry_count(), arrived_);
  if (!refusal) {
    MakeFirstAttempt();
  } else if (refusal->trials.empty()) {
    RefuseContent(*refusal);
  } else {
    RequestTrial(*refusal);
  }
}

void proxied_call::MakeFirstAttempt() {
  PickPool();
  Attempt();
  // Recorded after the endpoint was chosen, since the choice depends on whether
  // the prompt was seen before.
  pool_->RecordDemand(demand_);
}

/// A request that is handed on is counted by the VM that sends it to an
/// endpoint, or refuses it in the end.
void proxied_call::CountRequest() {
  if (is_request_counted_ || sent_ > 0 || pool_ == nullptr) return;
  is_request_counted_ = true;
  environment_.retries(pool_id_)->RecordRequest(environment_.clock());
}

void proxied_call::RefuseContent(const content_refusal& refusal) {
  const content_fault& fault = refusal.fault;
  const bool is_request = fault.content == Digest();
  LogStep("content_refused", log_fields()
                                 .Add("content", ContentText(fault.content))
                                 .Add("runs", RunsText(fault.ends))
                                 .Add("unexplained", refusal.unexplained)
                                 .Add("trials", refusal.trials.size()));
  Refuse(is_request ? "crashing_request" : "crashing_part", kMaxRetryAfterMs);
}

void proxied_call::RequestTrial(const content_refusal& refusal) {
  state_ = state::kAwaitingTrial;
  environment_.request_trial(
      refusal.trials, [self = weak_from_this(), refusal](
                          const std::optional<content_trial_request>& granted) {
        const auto call = self.lock();
        if (call) call->OnTrialDecision(refusal, granted);
      });
}

void proxied_call::OnTrialDecision(
    const content_refusal& refusal,
    const std::optional<content_trial_request>& granted) {
  if (state_ != state::kAwaitingTrial) {
    if (granted) environment_.release_trial(*granted);
    return;
  }
  state_ = state::kNew;
  if (!granted) {
    RefuseContent(refusal);
    return;
  }
  trial_ = granted;
  for (const content_trial& each : refusal.trials) {
    LogStep("content_trial", log_fields()
                                 .Add("content", ContentText(each.content))
                                 .Add("clearances", each.clearances));
  }
  MakeFirstAttempt();
}

bool proxied_call::FindRoute() {
  const http_field* host = FindField(message_.fields, "Host");
  route_ = table_->FindRoute(host->value, PathOf(message_.target));
  if (route_ != nullptr) return true;
  Deny(kStatusNotFound, "no_route");
  return false;
}

bool proxied_call::FindWorkspace() {
  const http_field* key = FindField(message_.fields, environment_.dialect.key);
  if (key != nullptr) workspace_ = table_->FindWorkspace(key->value);
  const bool needs_key = table_->document().requires_keys && !route_->is_public;
  if (workspace_ != nullptr || !needs_key) return true;
  Deny(kStatusUnauthorized, key == nullptr ? "no_key" : "unknown_key");
  return false;
}

content_digest proxied_call::Digest() const {
  if (!digest_) {
    digest_ = DigestOfRequest(message_, workspace_ == nullptr
                                            ? std::string_view()
                                            : workspace_->id.value());
  }
  return *digest_;
}

/// The last part of a prompt belongs to one request or session.
request_content proxied_call::Content() const {
  request_content content;
  content.request = Digest();
  for (std::size_t i = 0; i + 1 < demand_.parts.size(); ++i) {
    content.parts.emplace_back(demand_.parts[i].hash);
  }
  return content;
}

void proxied_call::SetDeadline() {
  std::chrono::milliseconds allowed = route_->timeout;
  const auto requested =
      ReadNumber(FindField(message_.fields, environment_.dialect.remaining_ms));
  if (requested && std::chrono::milliseconds(*requested) < allowed) {
    allowed = std::chrono::milliseconds(*requested);
  }
  deadline_ = arrived_ + allowed;
}

/// Picks a pool at random by weight. If it has no usable endpoint, picks
/// another target of the route that has one.
void proxied_call::PickPool() {
  pool_id_ = routing_table::PickPool(*route_, environment_.random());
  pool_ = environment_.pool(pool_id_);
  const steady_time now = environment_.clock();
  if (pool_->CanServe(limits_, now)) return;
  for (const route_target& target : route_->targets) {
    endpoint_pool* other = environment_.pool(target.pool);
    if (target.weight == 0 || !other->CanServe(limits_, now)) continue;
    pool_id_ = target.pool;
    pool_ = other;
    return;
  }
}

int proxied_call::Rank() const {
  if (workspace_ != nullptr && workspace_->rank) return *workspace_->rank;
  return route_ == nullptr ? 0 : route_->rank;
}

void proxied_call::Refuse(std::string_view reason, double retry_after_ms) {
  CountRequest();
  // Jittered, so that refused callers do not all retry at the same time.
  const double jitter =
      kMinRetryJitter +
      0.5 * static_cast<double>(environment_.random() % 1024) / 1024;
  const double wait =
      std::clamp(retry_after_ms * jitter, kMinRetryAfterMs, kMaxRetryAfterMs);
  caller_->Respond(kStatusUnavailable, {{"Retry-After", FormatSeconds(wait)}},
                   "");
  Finish(call_outcome::kRefused, reason);
}

void proxied_call::Deny(int status, std::string_view reason) {
  if (!environment_.is_document_current()) {
    Refuse("unproven_document", kUnprovenRetryMs);
    return;
  }
  caller_->Respond(status, {}, "");
  Finish(call_outcome::kDenied, reason);
}

void proxied_call::Fail(std::string_view reason) {
  if (response_started_) {
    caller_->Abort();
    Finish(call_outcome::kCutOff, reason);
    return;
  }
  caller_->Respond(kStatusBadGateway, {}, "");
  Finish(call_outcome::kFailed, reason);
}

void proxied_call::GiveUp() {
  if (state_ == state::kAwaitingHead || state_ == state::kReceiving) {
    may_have_run_ = true;
    if (endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint)) {
      if (!response_started_) endpoint->OnTimeout();
    }
  }
  if (response_started_) {
    caller_->Abort();
    Finish(call_outcome::kCutOff, "deadline");
  } else if (may_have_run_) {
    caller_->Respond(kStatusGatewayTimeout, {}, "");
    Finish(call_outcome::kTimedOut, "deadline");
  } else {
    Refuse("deadline", kMinRetryAfterMs);
  }
}

void proxied_call::OnCallerDisconnected(disconnect_cause cause) {
  if (is_done()) return;
  const call_outcome outcome =
      IsClosedHere(cause) ? call_outcome::kCutOff : call_outcome::kAbandoned;
  Finish(outcome, DisconnectCauseText(cause));
}

void proxied_call::Stop() {
  if (is_done()) return;
  GiveUp();
}

void proxied_call::Tick(steady_time now) {
  if (is_done()) return;
  if (now >= deadline_) {
    GiveUp();
    return;
  }
  if (state_ == state::kAwaitingDocument) {
    CheckDocument(now);
    return;
  }
  if (origin_due_ && now >= *origin_due_) RecordOrigin();
  CheckStall(now);
}

void proxied_call::LogStep(std::string_view event, const log_fields& fields) {
  if (steps_.size() >= kMaxLoggedSteps) return;
  std::string line(event);
  line += " request=";
  line += EscapeLogValue(request_id_);
  line += ' ';
  line += log_fields()
              .Add("at_ms", MillisOf(environment_.clock() - arrived_))
              .text();
  line += ' ';
  line += fields.text();
  steps_.push_back(std::move(line));
}

void proxied_call::Finish(call_outcome outcome, std::string_view reason) {
  if (is_done()) return;
  if (is_awaiting_place()) pool_->RemoveWaiting();
  CloseLateAttempts("call_ended");
  RecordDroppedCall(attempt_);
  if (trial_ && sent_ == 0) environment_.release_trial(*trial_);
  state_ = state::kDone;
  DropConnection(attempt_);
  // The call is removed a tick later only.
  ReleaseBuffer(attempt_.body);
  ReleaseBuffer(message_.body);
  environment_.metrics->CountOutcome(Rank(), outcome);
  if (response_started_) {
    const std::chrono::duration<double> gap = longest_gap_;
    environment_.metrics->ObserveGap(gap.count());
  }
  LogEnd(outcome, reason);
}

}  // namespace marjoramsill
