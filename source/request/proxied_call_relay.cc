#include <algorithm>
#include <chrono>
#include <utility>

#include "connection/caller_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "connection/socket_address.h"
#include "process/entry/call_environment.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/log_fields.h"
#include "process/entry/relay_table.h"
#include "process/placement/endpoint_pool.h"
#include "request/forwarded_head.h"
#include "request/http_status.h"
#include "request/newer_document.h"
#include "request/proxied_call.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// VMs that a request is offered to. Each takes a round trip, or the connect
/// timeout if it cannot be reached.
constexpr std::size_t kMaxRelays = 3;
/// Refused connections after which a request is handed on.
constexpr int kMaxRefusedConnections = 3;
/// Longest wait for the document of another VM. A document of 330 KB takes
/// longer on a slow link; a caller is better off with another VM then.
constexpr milliseconds kMaxDocumentWait{200};
/// Why another VM took no request.
constexpr std::string_view kFullCause = "relay_full";
constexpr std::string_view kUnavailableCause = "relay_unavailable";
constexpr std::string_view kNewerCause = "relay_newer";
constexpr std::string_view kReturnedCause = "relay_returned";

}  // namespace

bool proxied_call::IsLinkLost(steady_time now) const {
  return pool_->reach().state(now) == link_state::kLost;
}

bool proxied_call::IsRefusedEverywhere(steady_time now) const {
  return refused_connections_ >= kMaxRefusedConnections &&
         !pool_->reach().HasRecentActivity(now);
}

bool proxied_call::IsRelayDue(steady_time now) const {
  return !terms_ && return_position_ >= pool_->reach().DirectShare(now);
}

endpoint_connection_pool& proxied_call::Connections(
    const endpoint_attempt& attempt) const {
  return attempt.is_handed_on ? *environment_.relay_connections
                              : *environment_.connections;
}

bool proxied_call::HandOn(steady_time now) {
  if (terms_ || tried_relays_.size() >= kMaxRelays) return false;
  const auto address = environment_.relays->Pick(tried_relays_, pool_id_, now);
  if (!address) {
    environment_.relays->OnShortage(now);
    return false;
  }
  tried_relays_.push_back(*address);
  LogStep("handed_on", log_fields()
                           .Add("vm", *address)
                           .Add("pool", pool_id_.value())
                           .Add("sent", sent_));
  environment_.metrics->CountHandedOn();
  ResetAttempt(endpoint_id(*address));
  attempt_.is_handed_on = true;
  // Without an answer it is unknown how many of them the other VM has made.
  attempt_.granted = std::max(route_->max_attempts - sent_, 1);
  attempt_.is_counted = true;
  environment_.relays->OnStart(*address);
  Connect(*address);
  return true;
}

void proxied_call::EndRelay(const endpoint_attempt& attempt) {
  if (!attempt.is_handed_on || !attempt.is_counted) return;
  environment_.relays->OnEnd(attempt.endpoint.value());
}

std::string proxied_call::HandedOnBytes() const {
  const request_dialect& dialect = environment_.dialect;
  const bool resumes = !events_.last_id().empty();
  // The attempts of the other VM are counted already.
  const relay_terms terms{table_->version(), sent_ - attempt_.granted,
                          limits_.software};
  std::string bytes = message_.method + " " + message_.target + " HTTP/1.1\r\n";
  AppendField(bytes, kRelayField, EncodeRelayTerms(terms));
  bytes += HandedOnLines(message_.fields, dialect, !resumes);
  if (resumes) AppendField(bytes, dialect.last_event_id, events_.last_id());
  const auto remaining = std::chrono::duration_cast<milliseconds>(
      deadline_ - environment_.clock());
  AppendField(bytes, dialect.remaining_ms,
              std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  AppendField(bytes, "Content-Length", std::to_string(message_.body.size()));
  bytes += "\r\n";
  bytes += message_.body;
  return bytes;
}

bool proxied_call::HasSent() const { return terms_ && sent_ > terms_->sent; }

void proxied_call::ReturnRelayed(const char* answer, std::string_view reason) {
  if (ReturnToLate()) return;
  if (response_started_) {
    Fail(reason);
    return;
  }
  const std::string value =
      HasSent() ? EncodeRelayAttempts(sent_ - terms_->sent) : answer;
  const int status = may_have_run_ ? kStatusBadGateway : kStatusUnavailable;
  caller_->Respond(status, {{kRelayField, value}}, "");
  Finish(may_have_run_ ? call_outcome::kFailed : call_outcome::kRefused,
         reason);
}

bool proxied_call::OnRelayRefusal() {
  const bool is_from_endpoint =
      FindField(attempt_.head.fields, environment_.dialect.endpoint_proof) !=
      nullptr;
  if (is_from_endpoint) return false;
  const http_field* answer = FindField(attempt_.head.fields, kRelayField);
  const auto attempts =
      answer ? DecodeRelayAttempts(answer->value) : std::nullopt;
  if (attempts) {
    OnRelayReturned(*attempts);
    return true;
  }
  if (!SignalsNotRun(attempt_.head.status)) return false;
  if (answer != nullptr) {
    sent_ -= attempt_.granted;
    if (const auto newer = DecodeNewerDocument(answer->value)) {
      OnNewerDocument(*newer);
    } else {
      OnRelayNotTaken(answer->value == kRelayFull ? kFullCause
                                                  : kUnavailableCause);
    }
    return true;
  }
  // The other VM knows that the request has not run.
  if (ReturnToLate()) return true;
  if (may_have_run_ || response_started_) {
    Fail("relay_refused");
    return true;
  }
  caller_->Respond(attempt_.head.status, ReturnedFields(attempt_.head.fields),
                   attempt_.body);
  Finish(call_outcome::kRefused, "relay_refused");
  return true;
}

void proxied_call::OnRelayReturned(int attempts) {
  sent_ -= attempt_.granted - std::clamp(attempts, 1, attempt_.granted);
  const bool may_run = !SignalsNotRun(attempt_.head.status);
  if (may_run) may_have_run_ = true;
  AfterAttempt(may_run ? attempt_end::kUnknown : attempt_end::kNotRun,
               kReturnedCause);
}

void proxied_call::OnRelayNotTaken(std::string_view cause) {
  const steady_time now = environment_.clock();
  if (cause == kUnavailableCause) {
    environment_.relays->OnUnavailable(attempt_.endpoint.value(), now);
  } else {
    environment_.relays->OnFull(attempt_.endpoint.value(), pool_id_, now);
  }
  AfterAttempt(attempt_end::kNotSent, cause);
}

bool proxied_call::RefuseOtherDocument() {
  if (!table_ || table_->version() < terms_->document) {
    ReturnRelayed(kRelayUnavailable, "older_document");
    return true;
  }
  if (table_->version() == terms_->document) return false;
  // The VM in front would go on by its older document after callers have seen
  // an effect of this one, perhaps before any response.
  caller_->Respond(
      kStatusUnavailable,
      {{kRelayField,
        EncodeNewerDocument({table_->version(), environment_.document_port})}},
      "");
  Finish(call_outcome::kRefused, "newer_document");
  return true;
}

void proxied_call::OnNewerDocument(const newer_document& newer) {
  const steady_time now = environment_.clock();
  LogStep("newer_document", log_fields()
                                .Add("vm", attempt_.endpoint.value())
                                .Add("version", newer.version.value())
                                .Add("held", table_->version().value()));
  auto address = ParseSocketAddress(attempt_.endpoint.value());
  if (address && environment_.table()->version() < newer.version) {
    address->port = newer.port;
    environment_.fetch_document(vm_id(FormatSocketAddress(*address)),
                                newer.version);
  }
  if (may_have_run_ || response_started_) {
    OnRelayNotTaken(kNewerCause);
    return;
  }
  state_ = state::kAwaitingDocument;
  awaited_document_ = newer.version;
  document_deadline_ = now + kMaxDocumentWait;
  CheckDocument(now);
}

void proxied_call::CheckDocument(steady_time now) {
  if (environment_.table()->version() >= awaited_document_) {
    AdmitAgain();
  } else if (now >= document_deadline_) {
    state_ = state::kNew;
    OnRelayNotTaken(kNewerCause);
  }
}

void proxied_call::AdmitAgain() {
  state_ = state::kNew;
  attempt_.is_handed_on = false;
  tried_relays_.clear();
  limits_.software.reset();
  digest_.reset();
  workspace_ = nullptr;
  pool_ = nullptr;
  place_deadline_ = {};
  table_ = environment_.table();
  Admit();
}

}  // namespace marjoramsill
