#include <algorithm>
#include <chrono>

#include "connection/caller_connection.h"
#include "connection/endpoint_connection.h"
#include "process/entry/call_environment.h"
#include "process/entry/entry_metrics.h"
#include "request/forwarded_head.h"
#include "request/http_status.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";

bool IsEventStream(const endpoint_response_head& head) {
  const http_field* type = FindField(head.fields, "Content-Type");
  return type != nullptr && type->value.starts_with(kEventStreamType);
}

bool IsWhole(const event_scanner& events) {
  return events.is_between_events() && events.has_event();
}

}  // namespace

/// Starts the streamed response with the head of the endpoint's response.
void proxied_call::StartResponse() {
  response_started_ = true;
  response_status_ = attempt_.head.status;
  is_event_stream_ = IsEventStream(attempt_.head);
  last_response_bytes_at_ = environment_.clock();
  const auto waited =
      std::chrono::duration<double>(last_response_bytes_at_ - arrived_);
  environment_.metrics->ObserveFirstByte(waited.count());
  // The length of a stream that may be resumed elsewhere is not known.
  const bool has_length = attempt_.head.length && !route_->is_resumable;
  caller_->Begin(attempt_.head.status, ReturnedFields(attempt_.head.fields),
                 has_length ? attempt_.head.length : std::nullopt);
}

bool proxied_call::ContinuesResponse(const endpoint_response_head& head) const {
  return !response_started_ || (head.status == response_status_ &&
                                IsEventStream(head) == is_event_stream_);
}

void proxied_call::RecordResponseBytes() {
  const steady_time now = environment_.clock();
  longest_gap_ = std::max(longest_gap_, now - last_response_bytes_at_);
  last_response_bytes_at_ = now;
}

void proxied_call::ForwardStream(std::string_view data) {
  if (!route_->is_resumable) {
    RecordResponseBytes();
    caller_->Write(data);
    forwarded_events_.Read(data);
    return;
  }
  const std::string_view complete = events_.Add(data);
  if (complete.empty()) return;
  if (!response_started_) StartResponse();
  if (!limits_.software && !attempt_.is_handed_on) BeginOrigin();
  RecordResponseBytes();
  caller_->Write(complete);
}

const event_scanner& proxied_call::ForwardedEvents() const {
  return route_->is_resumable ? events_.scanner() : forwarded_events_;
}

bool proxied_call::IsBrokenOff() const {
  if (attempt_.is_stream) return !IsWhole(ForwardedEvents());
  if (!IsEventStream(attempt_.head)) return false;
  event_scanner events;
  events.Read(attempt_.body);
  return !IsWhole(events);
}

bool proxied_call::IsInsideEvent() const {
  if (!IsEventStream(attempt_.head)) return false;
  if (attempt_.is_stream) return !ForwardedEvents().is_between_events();
  event_scanner events;
  events.Read(attempt_.body);
  return !events.is_between_events();
}

void proxied_call::OnReadEnd() {
  if (response_started_) caller_->Flush();
  // May close this connection, which ends the call.
  if (!is_done()) caller_->memory().Relieve(environment_.clock());
}

void proxied_call::EndStream() {
  if (!response_started_) StartResponse();
  caller_->Write(events_.rest());
  caller_->End();
  Finish(call_outcome::kServed, "");
}

bool proxied_call::SignalsNotRun(int status) const {
  return status == kStatusUnavailable || status == kStatusTooManyRequests ||
         status == kStatusRequestTimeout || status == kStatusMisdirected;
}

void proxied_call::ForwardBuffered() {
  if (response_started_) {
    Fail("endpoint_failure");
    return;
  }
  // The endpoint did not confirm that the request has not run, so the status
  // could be wrong and make the caller repeat a request that has run.
  if (!route_->IsRepeatable() && SignalsNotRun(attempt_.head.status)) {
    Fail("unconfirmed_refusal");
    return;
  }
  caller_->Respond(attempt_.head.status, ReturnedFields(attempt_.head.fields),
                   attempt_.body);
  const std::chrono::duration<double> waited = environment_.clock() - arrived_;
  environment_.metrics->ObserveFirstByte(waited.count());
  Finish(IsSuccessStatus(attempt_.head.status) ? call_outcome::kServed
                                               : call_outcome::kEndpointFailure,
         IsSuccessStatus(attempt_.head.status) ? "" : "endpoint_failure");
}

}  // namespace marjoramsill
