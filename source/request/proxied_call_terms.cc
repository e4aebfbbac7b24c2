#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/entry/call_environment.h"
#include "process/entry/unconfirmed_origin.h"
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
constexpr milliseconds kRecordDelivery{450};
/// An endpoint sends a heartbeat to the next control process if one does not
/// answer within this time.
constexpr milliseconds kHeartbeatTimeout{1'000};
/// From the start of an endpoint until its record is at the entry VMs, while
/// one control process does not answer. A connection may lead to an endpoint
/// that has just started.
constexpr milliseconds kRecordWait = kRecordDelivery + kHeartbeatTimeout;
/// Retry-After while the records of endpoints cannot be confirmed. Another
/// entry VM may be able to.
constexpr double kUnconfirmedRetryMs = 300;

/// Random number from 0 to 1 by which this VM returns after the pause; 0 if
/// the terms name none.
double ReturnSpread(const stated_terms& stated, const random_source& random) {
  if (!stated.pause) return 0;
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(random() % kSteps) / kSteps;
}

}  // namespace

void proxied_call::SendWhenRecorded() {
  const bool goes_on = limits_.software && !attempt_.is_handed_on;
  if (!goes_on) {
    SendIfOpen();
    return;
  }
  state_ = state::kAwaitingRecord;
  CheckRecord(environment_.clock());
}

void proxied_call::CheckRecord(steady_time now) {
  // A caller that reads its stream already gives up after two seconds or so, of
  // which the endpoint before was silent for more than one.
  const milliseconds wait = response_started_ ? kRecordDelivery : kRecordWait;
  const steady_time due = attempt_.connection->opened_at() + wait;
  if (now < due || attempt_.is_record_awaited) return;
  attempt_.is_record_awaited = true;
  environment_.await_records(
      due, [self = weak_from_this(),
            opened = attempt_.connection.get()](bool current) {
        const auto call = self.lock();
        if (call && call->attempt_.connection.get() == opened) {
          call->OnRecords(current);
        }
      });
}

/// Without current records the endpoint, or the one that began the stream, may
/// have started again with other software.
void proxied_call::OnRecords(bool is_current) {
  if (state_ != state::kAwaitingRecord) return;
  if (!is_current) {
    LeaveConnection(attempt_);
    EndUnsent("records_unconfirmed", kUnconfirmedRetryMs);
    return;
  }
  if (HasOriginSoftware() && HasTargetSoftware(environment_.clock())) {
    SendIfOpen();
    return;
  }
  LeaveConnection(attempt_);
  AfterAttempt(attempt_end::kNotSent, "software_changed");
}

void proxied_call::SendIfOpen() {
  if (IsTargetOpen()) {
    Send();
    return;
  }
  LeaveConnection(attempt_);
  AfterAttempt(attempt_end::kNotSent, "closed_to_requests");
}

bool proxied_call::HasTargetSoftware(steady_time now) const {
  const endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint);
  return endpoint != nullptr && endpoint->HasSoftware(*limits_.software, now);
}

/// False if the stream was begun by other software than was assumed without a
/// current record, as far as is known.
bool proxied_call::HasOriginSoftware() const {
  const bool is_assumed = origin_opened_at_ && !is_origin_confirmed_;
  return !is_assumed || OriginSoftware() == *limits_.software;
}

void proxied_call::BeginOrigin() {
  origin_endpoint_ = attempt_.endpoint;
  origin_opened_at_ = attempt_.connection->opened_at();
  limits_.software = attempt_.software;
  limits_.software = OriginSoftware();
  // The record may be about an earlier process than the connection leads to.
  origin_due_ = *origin_opened_at_ + kRecordDelivery;
  if (environment_.clock() >= *origin_due_) RecordOrigin();
}

/// A VM that is cut off or was suspended may have an old record of the
/// endpoint. An origin that is not recorded is unknown to the others, which
/// then refuse to go on with the stream.
void proxied_call::RecordOrigin() {
  const auto as_of = environment_.records_as_of();
  if (!as_of || *as_of < *origin_opened_at_) return;
  origin_due_.reset();
  is_origin_confirmed_ = true;
  limits_.software = OriginSoftware();
  environment_.record_origin(request_id_, pool_id_, *limits_.software);
}

void proxied_call::LeaveOrigin() {
  if (!origin_due_) return;
  RecordOrigin();
  if (!std::exchange(origin_due_, std::nullopt)) return;
  environment_.record_origin_later({request_id_, pool_id_, origin_endpoint_,
                                    *limits_.software, *origin_opened_at_});
}

software_digest proxied_call::OriginSoftware() const {
  const endpoint_estimate* endpoint = pool_->Find(origin_endpoint_);
  return endpoint == nullptr ? *limits_.software
                             : DigestOfSoftware(endpoint->record());
}

bool proxied_call::IsTargetOpen() const {
  const endpoint_estimate* endpoint = pool_->Find(attempt_.endpoint);
  return endpoint == nullptr || endpoint->terms().IsOpen(environment_.clock());
}

void proxied_call::LeaveConnection(endpoint_attempt& attempt) {
  const endpoint_estimate* endpoint = pool_->Find(attempt.endpoint);
  if (endpoint != nullptr && endpoint->terms().is_leaving()) {
    Connections(attempt).Drop(attempt.endpoint);
    attempt.connection->Close();
  }
  Connections(attempt).Release(attempt.endpoint, std::move(attempt.connection),
                               environment_.clock());
  attempt.connection.reset();
  ReleaseEndpoint(attempt);
}

/// Endpoints echo the request id, but may omit it in a refusal or failure. On a
/// connection that carried another request before, a response without it may
/// be one to that request, written once more, and proves nothing.
bool proxied_call::MatchesRequest(const endpoint_attempt& attempt,
                                  const endpoint_response_head& head) const {
  const http_field* id =
      FindField(head.fields, environment_.dialect.request_id);
  if (id != nullptr) return id->value == request_id_;
  const bool may_be_earlier =
      !attempt.is_handed_on && attempt.connection->is_reused();
  return !IsSuccessStatus(head.status) && !may_be_earlier;
}

void proxied_call::RecordTerms(const endpoint_attempt& attempt,
                               endpoint_estimate* endpoint, steady_time now) {
  const endpoint_response_head& head = attempt.head;
  if (endpoint == nullptr || head.status == kStatusMisdirected) return;
  const stated_terms stated =
      environment_.dialect.read_terms(head.status, head.fields);
  LogLeaving(*endpoint, stated);
  endpoint->terms().Record(stated, IsSuccessStatus(head.status),
                           ReturnSpread(stated, environment_.random), now);
  if (stated.cold_left) endpoint->SetColdFor(*stated.cold_left, now);
  LogPause(attempt.endpoint, stated);
}

void proxied_call::OnOtherResponse(const endpoint_attempt& attempt,
                                   const endpoint_response_head& head) {
  LogSkippedResponse(attempt, head);
  endpoint_estimate* endpoint = pool_->Find(attempt.endpoint);
  if (endpoint == nullptr) return;
  const stated_terms stated =
      environment_.dialect.read_terms(head.status, head.fields);
  LogLeaving(*endpoint, stated);
  endpoint->terms().RecordOwn(stated, ReturnSpread(stated, environment_.random),
                              environment_.clock());
  LogPause(attempt.endpoint, stated);
}

}  // namespace marjoramsill
