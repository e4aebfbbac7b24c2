#include <string_view>

#include "connection/endpoint_connection.h"
#include "process/entry/call_environment.h"
#include "process/entry/decision_log.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/log_fields.h"
#include "process/entry/stop_sequence.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/stated_terms.h"
#include "request/proxied_call.h"
#include "request/retry_after.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

/// Requests by which an endpoint's load exceeds the estimate at the choice for
/// the difference to be logged.
constexpr double kLoggedUnderestimate = 3;
/// Characters of a prompt's list of parts in a log line.
constexpr std::size_t kMaxLoggedPrompt = 256;
/// Characters of a response field in a log line.
constexpr std::size_t kMaxLoggedValue = 40;

/// One in this many ordinary requests (served, or abandoned by the caller) is
/// logged.
constexpr std::uint64_t kLogSample = 64;

bool IsOrdinary(call_outcome outcome) {
  return outcome == call_outcome::kServed ||
         outcome == call_outcome::kAbandoned;
}

/// The start of a field's value; empty without the field.
std::string_view ShortValue(const http_field* field) {
  if (field == nullptr) return {};
  const std::string_view value = field->value;
  return value.substr(0, kMaxLoggedValue);
}

}  // namespace

/// A stream that was taken up again can only be explained by its lines, and so
/// can a response that is lost with the end of the process, and a request that
/// several VMs may have sent to endpoints.
bool proxied_call::IsLogged(call_outcome outcome) const {
  const bool is_sampled = IsOrdinary(outcome) && resumed_request_.empty() &&
                          !environment_.stop->has_begun() && relays_lost_ == 0;
  return !is_sampled || environment_.random() % kLogSample == 0;
}

/// The log limits the rate of frequent lines, so that a flood of immediate
/// refusals cannot displace the lines of requests that failed at an endpoint.
line_class proxied_call::EndLineClass(call_outcome outcome) const {
  // During a stop a response without its end may be a failure of this process,
  // whoever closed the connection.
  const bool is_cut_at_stop = environment_.stop->has_begun() &&
                              outcome == call_outcome::kAbandoned &&
                              response_started_;
  const bool is_frequent =
      (IsOrdinary(outcome) && !is_cut_at_stop) || sent_ == 0;
  return is_frequent ? line_class::kFrequent : line_class::kEssential;
}

/// During a stop the end of each request is logged. Without their steps the
/// lines of ordinary requests fit into the limit of a busy process.
bool proxied_call::AreStepsLogged(call_outcome outcome) const {
  const bool is_plain = IsOrdinary(outcome) && sent_ <= 1 &&
                        relays_lost_ == 0 && resumed_request_.empty();
  return !is_plain || !environment_.stop->has_begun();
}

void proxied_call::LogEnd(call_outcome outcome, std::string_view reason) {
  if (!IsLogged(outcome)) return;
  const line_class kind = EndLineClass(outcome);
  if (!AreStepsLogged(outcome)) steps_.clear();
  for (const std::string_view step : steps_) {
    const std::size_t space = step.find(' ');
    environment_.log->Write(step.substr(0, space), step.substr(space + 1),
                            kind);
  }
  const steady_time now = environment_.clock();
  log_fields fields;
  fields.Add("request", request_id_)
      .Add("outcome", CallOutcomeText(outcome))
      .Add("reason", reason)
      .Add("route", route_ == nullptr ? "" : route_->name)
      .Add("rank", Rank())
      .Add("sent", sent_)
      .Add("relay", terms_                  ? "taken"
                    : tried_relays_.empty() ? "none"
                                            : "handed_on")
      .Add("relays_lost", relays_lost_)
      .Add("took_ms", MillisOf(now - arrived_))
      .Add("gap_ms", MillisOf(longest_gap_))
      .Add("document", table_ ? table_->version().value() : 0);
  if (const auto stopping_for = environment_.stop->Elapsed(now)) {
    fields.Add("stopping_for_ms", stopping_for->count());
  }
  environment_.log->Write("ended", fields.text(), kind);
}

void proxied_call::LogOverBound(const placement_choice& choice) const {
  environment_.metrics->CountOverBound();
  environment_.log->Write(
      "over_load_bound",
      log_fields()
          .Add("request", request_id_)
          .Add("pool", pool_id_.value())
          .Add("endpoint", choice.endpoint->record().id.value())
          .Add("load", choice.load)
          .Add("load_age_ms", choice.load_age_ms)
          .Add("pool_mean", choice.pool_mean)
          .Add("candidates", choice.candidates)
          .Add("left_out", choice.left_out)
          .text(),
      line_class::kFrequent);
}

void proxied_call::LogFullPool(const full_pool& full) {
  environment_.metrics->CountFullPool();
  LogStep("pool_full", log_fields()
                           .Add("pool", pool_id_.value())
                           .Add("pool_mean", full.pool_mean)
                           .Add("bound", full.bound)
                           .Add("least_load", full.least_load)
                           .Add("candidates", full.candidates)
                           .Add("left_out", full.left_out)
                           .Add("own_places", full.own_places));
}

void proxied_call::LogUnderestimate(const endpoint_attempt& attempt,
                                    const load_report& report) const {
  const double reported = static_cast<double>(report.running) + report.waiting;
  if (reported - 1 <= attempt.estimated_load + kLoggedUnderestimate) return;
  environment_.metrics->CountUnderestimate();
  environment_.log->Write(
      "load_underestimated",
      log_fields()
          .Add("request", request_id_)
          .Add("endpoint", attempt.endpoint.value())
          .Add("estimated", attempt.estimated_load)
          .Add("load_age_ms", attempt.estimate_age_ms)
          .Add("running", report.running)
          .Add("waiting", report.waiting)
          .Add("took_ms", MillisOf(environment_.clock() - attempt.started))
          .text(),
      line_class::kFrequent);
}

void proxied_call::LogLeaving(const endpoint_estimate& endpoint,
                              const stated_terms& stated) const {
  if (!stated.is_leaving || endpoint.terms().is_leaving()) return;
  environment_.log->Write("endpoint_leaving",
                          log_fields()
                              .Add("request", request_id_)
                              .Add("endpoint", endpoint.record().id.value())
                              .text());
}

void proxied_call::LogPause(const endpoint_id& endpoint,
                            const stated_terms& stated) const {
  if (!stated.pause && !stated.is_pause_unreadable) return;
  if (stated.pause) environment_.metrics->CountPause();
  environment_.log->Write(
      stated.pause ? "endpoint_paused" : "pause_ignored",
      log_fields()
          .Add("request", request_id_)
          .Add("endpoint", endpoint.value())
          .Add("pause_ms", stated.pause ? stated.pause->count() : 0)
          .text(),
      line_class::kFrequent);
}

void proxied_call::LogSkippedResponse(
    const endpoint_attempt& attempt, const endpoint_response_head& head) const {
  const http_field* id =
      FindField(head.fields, environment_.dialect.request_id);
  environment_.log->Write("response_skipped",
                          log_fields()
                              .Add("request", request_id_)
                              .Add("endpoint", attempt.endpoint.value())
                              .Add("status", head.status)
                              .Add("names", ShortValue(id))
                              .text(),
                          line_class::kFrequent);
}

void proxied_call::LogRefusal(const endpoint_attempt& attempt) const {
  const endpoint_estimate* endpoint = pool_->Find(attempt.endpoint);
  const http_field* id =
      FindField(attempt.head.fields, environment_.dialect.request_id);
  const http_field* pause = FindField(attempt.head.fields, kRetryAfterField);
  const auto load = environment_.dialect.read_load(attempt.head.fields);
  environment_.metrics->CountEndpointRefusal();
  environment_.log->Write(
      "endpoint_refused",
      log_fields()
          .Add("request", request_id_)
          .Add("endpoint", attempt.endpoint.value())
          .Add("status", attempt.head.status)
          .Add("not_run", attempt.is_rejected)
          .Add("names_request", id != nullptr)
          .Add("kept_connection",
               attempt.connection && attempt.connection->is_reused())
          .Add("retry_after", ShortValue(pause))
          .Add("running", load ? load->running : 0)
          .Add("waiting", load ? load->waiting : 0)
          .Add("slots", endpoint == nullptr ? 0 : endpoint->slots())
          .Add("own_calls", endpoint == nullptr ? 0 : endpoint->in_flight())
          .Add("took_ms", MillisOf(environment_.clock() - attempt.started))
          .text(),
      line_class::kFrequent);
}

void proxied_call::LogBrokenAnswer(const endpoint_attempt& attempt) const {
  const endpoint_estimate* endpoint = pool_->Find(attempt.endpoint);
  const http_field* prompt =
      FindField(message_.fields, environment_.dialect.prompt_parts);
  const std::string_view parts =
      prompt == nullptr ? std::string_view() : prompt->value;
  environment_.log->Write(
      "answer_broken",
      log_fields()
          .Add("request", request_id_)
          .Add("endpoint", attempt.endpoint.value())
          .Add("born",
               endpoint == nullptr ? 0 : endpoint->record().incarnation.value())
          .Add("status", attempt.head.status)
          .Add("bytes", attempt.received_bytes)
          .Add("took_ms", MillisOf(environment_.clock() - attempt.started))
          .Add("content", ContentText(Digest()))
          .Add("prompt", parts.substr(0, kMaxLoggedPrompt))
          .text(),
      line_class::kFrequent);
}

void proxied_call::LogLateEnd(const endpoint_attempt& attempt,
                              std::string_view cause) {
  const auto taken = environment_.clock() - attempt.started;
  LogStep("late_attempt_ended", log_fields()
                                    .Add("endpoint", attempt.endpoint.value())
                                    .Add("cause", cause)
                                    .Add("status", attempt.head.status)
                                    .Add("took_ms", MillisOf(taken)));
}

void proxied_call::LogUnframedAnswer(std::string_view endpoint_state,
                                     bool is_broken_off) const {
  environment_.log->Write(
      "unframed_answer",
      log_fields()
          .Add("request", request_id_)
          .Add("endpoint", attempt_.endpoint.value())
          .Add("status", attempt_.head.status)
          .Add("bytes", attempt_.received_bytes)
          .Add("took_ms", MillisOf(environment_.clock() - attempt_.started))
          .Add("endpoint_state", endpoint_state)
          .Add("taken_for", is_broken_off ? "broken_off" : "complete")
          .text(),
      line_class::kFrequent);
}

}  // namespace marjoramsill
