#include <chrono>
#include <cstdint>

#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/entry/call_environment.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/stated_terms.h"
#include "request/http_status.h"
#include "request/proxied_call.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// The record of an endpoint that has started again takes some 50 to 100 ms
/// from its first heartbeat to the entry VMs, and 300 ms more to one that has
/// just started itself.
constexpr milliseconds kRecordWait{450};

/// Random number from 0 to 1 by which this VM returns after the pause; 0 if
/// the terms name none.
double ReturnSpread(const stated_terms& stated, const random_source& random) {
  if (!stated.pause) return 0;
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(random() % kSteps) / kSteps;
}

}  // namespace

void proxied_call::SendWhenRecorded() {
  const steady_time now = environment_.clock();
  const bool goes_on = limits_.software && !is_handed_on_;
  if (goes_on && now - connection_->opened_at() < kRecordWait) {
    state_ = state::kAwaitingRecord;
    return;
  }
  SendIfOpen();
}

void proxied_call::CheckRecord(steady_time now) {
  if (now - connection_->opened_at() < kRecordWait) return;
  if (HasTargetSoftware(now)) {
    SendIfOpen();
    return;
  }
  LeaveConnection();
  AfterAttempt(attempt_end::kNotSent, "software_changed");
}

void proxied_call::SendIfOpen() {
  if (IsTargetOpen()) {
    Send();
    return;
  }
  LeaveConnection();
  AfterAttempt(attempt_end::kNotSent, "closed_to_requests");
}

bool proxied_call::HasTargetSoftware(steady_time now) const {
  const endpoint_estimate* endpoint = pool_->Find(endpoint_);
  return endpoint != nullptr && endpoint->HasSoftware(*limits_.software, now);
}

void proxied_call::BeginOrigin() {
  limits_.software = TargetSoftware();
  // The record may be about an earlier process than the connection leads to.
  origin_due_ = connection_->opened_at() + kRecordWait;
  if (environment_.clock() >= *origin_due_) RecordOrigin();
}

void proxied_call::RecordOrigin() {
  origin_due_.reset();
  limits_.software = TargetSoftware();
  environment_.record_origin(request_id_, pool_id_, *limits_.software);
}

software_digest proxied_call::TargetSoftware() const {
  const endpoint_estimate* endpoint = pool_->Find(endpoint_);
  return endpoint == nullptr ? software_ : DigestOfSoftware(endpoint->record());
}

bool proxied_call::IsTargetOpen() const {
  const endpoint_estimate* endpoint = pool_->Find(endpoint_);
  return endpoint == nullptr || endpoint->terms().IsOpen(environment_.clock());
}

void proxied_call::LeaveConnection() {
  const endpoint_estimate* endpoint = pool_->Find(endpoint_);
  if (endpoint != nullptr && endpoint->terms().is_leaving()) {
    Connections().Drop(endpoint_);
    connection_->Close();
  }
  Connections().Release(endpoint_, std::move(connection_),
                        environment_.clock());
  connection_.reset();
  ReleaseEndpoint();
}

/// Endpoints echo the request id, but may omit it in a refusal or failure. On a
/// connection that carried another request before, a response without it may
/// be one to that request, written once more, and proves nothing.
bool proxied_call::MatchesRequest(const endpoint_response_head& head) const {
  const http_field* id =
      FindField(head.fields, environment_.dialect.request_id);
  if (id != nullptr) return id->value == request_id_;
  const bool may_be_earlier = !is_handed_on_ && connection_->is_reused();
  return !IsSuccessStatus(head.status) && !may_be_earlier;
}

void proxied_call::RecordTerms(endpoint_estimate* endpoint, steady_time now) {
  if (endpoint == nullptr || head_.status == kStatusMisdirected) return;
  const stated_terms stated =
      environment_.dialect.read_terms(head_.status, head_.fields);
  LogLeaving(*endpoint, stated);
  endpoint->terms().Record(stated, IsSuccessStatus(head_.status),
                           ReturnSpread(stated, environment_.random), now);
  LogPause(stated);
}

void proxied_call::OnOtherResponse(const endpoint_response_head& head) {
  LogSkippedResponse(head);
  endpoint_estimate* endpoint = pool_->Find(endpoint_);
  if (endpoint == nullptr) return;
  const stated_terms stated =
      environment_.dialect.read_terms(head.status, head.fields);
  LogLeaving(*endpoint, stated);
  endpoint->terms().RecordOwn(stated, ReturnSpread(stated, environment_.random),
                              environment_.clock());
  LogPause(stated);
}

}  // namespace marjoramsill
