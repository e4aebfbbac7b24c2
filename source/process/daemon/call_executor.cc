#include "process/daemon/call_executor.h"

#include <algorithm>
#include <asio/post.hpp>
#include <type_traits>
#include <utility>

#include "connection/endpoint_call.h"
#include "connection/http_responder.h"
#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/content_hash.h"
#include "process/daemon/endpoint_request.h"
#include "process/daemon/event_log.h"
#include "process/daemon/fleet_membership.h"
#include "process/daemon/process_metrics.h"
#include "process/daemon/shard_actions.h"
#include "process/daemon/steady_clock.h"
#include "request/http_status.h"
#include "request/retry_after.h"
#include "version/policy_snapshot.h"

namespace marjoramsill {
namespace {

// Weight of the most recent call in a shard's moving averages.
constexpr double kAverageWeight = 0.05;
// Base of Retry-After for a workspace at its limit; jitter makes it one to two
// times as long.
constexpr std::chrono::seconds kLimitRetryDelay{1};
constexpr std::string_view kEventEnd = "\n\n";

std::uint64_t CountEvents(const std::string& bytes) {
  std::uint64_t events = 0;
  for (std::size_t at = bytes.find(kEventEnd); at != std::string::npos;
       at = bytes.find(kEventEnd, at + kEventEnd.size())) {
    ++events;
  }
  return events;
}

/// Returns the event that a failure counts as, or nullopt if an earlier request
/// with the same key determines the response, because that request is already
/// counted.
std::optional<service_event> EventOf(failure_kind kind) {
  switch (kind) {
    case failure_kind::kInProgress:
    case failure_kind::kKeyReused:
    case failure_kind::kOutcomeUnknown:
    case failure_kind::kResponseNotStored:
      return std::nullopt;
    case failure_kind::kNoEndpoint:
    case failure_kind::kClaimUnavailable:
    case failure_kind::kClaimsFull:
      return service_event::kRefusedNoCapacity;
    case failure_kind::kDeadlineExceeded:
      return service_event::kFailedTimeout;
    default:
      return service_event::kFailedEndpoint;
  }
}

service_event EventOf(rejection_kind kind) {
  switch (kind) {
    case rejection_kind::kDeadline:
      return service_event::kRefusedDeadline;
    case rejection_kind::kWorkspaceQueueFull:
    case rejection_kind::kRankQueueFull:
      return service_event::kRefusedQueueFull;
    case rejection_kind::kNoCapacity:
    case rejection_kind::kInvalid:
      break;
  }
  return service_event::kRefusedNoCapacity;
}

problem ProblemOf(const admission_rejection& rejection) {
  problem refusal;
  const bool late = rejection.kind == rejection_kind::kDeadline;
  refusal.kind =
      late ? problem_kind::kDeadlineExceeded : problem_kind::kOverloaded;
  if (late) {
    refusal.detail = "the queue is longer than the target or deadline allows";
  } else if (rejection.kind == rejection_kind::kNoCapacity) {
    refusal.detail = "no endpoint has offered capacity";
  } else {
    refusal.detail = "the queue of this rank or workspace is full";
  }
  refusal.retry_after =
      std::chrono::ceil<std::chrono::milliseconds>(rejection.retry_after);
  return refusal;
}

}  // namespace

call_executor::call_executor(call_services& services,
                             std::shared_ptr<pool_shard> shard,
                             http_request request,
                             classified_request classified,
                             std::shared_ptr<http_responder> responder,
                             steady_time arrived)
    : services_(services),
      shard_(std::move(shard)),
      request_(std::move(request)),
      classified_(std::move(classified)),
      responder_(std::move(responder)),
      arrived_(arrived),
      handle_(++services.last_number),
      id_(services.vm.value() + "-" +
          std::to_string(services.incarnation.value()) + "-" +
          std::to_string(handle_.value())),
      strand_(asio::make_strand(services.io)),
      timer_(strand_),
      started_(arrived) {}

admission_offer call_executor::MakeOffer(workspace_handle workspace) const {
  const double service_us = shard_->service_us_per_cost *
                            static_cast<double>(classified_.cost.value());
  admission_offer offer;
  offer.request = handle_;
  offer.rank = classified_.rank;
  offer.workspace = workspace;
  offer.weight = std::max<double>(1, classified_.limits.weight);
  offer.cost = classified_.cost;
  offer.expected_service =
      std::chrono::microseconds(static_cast<std::int64_t>(service_us));
  // A request that would start after its rank's first-token target would use
  // capacity that another request needs to meet its own target.
  offer.deadline = std::min(
      arrived_ + classified_.deadline,
      arrived_ + classified_.first_token_target + offer.expected_service);
  return offer;
}

void call_executor::Offer(workspace_handle workspace) {
  std::optional<admission_rejection> rejection;
  bool admitted = false;
  {
    const std::lock_guard lock(shard_->mutex);
    auto offered = shard_->admission.Offer(MakeOffer(workspace), SteadyNow());
    if (!offered) {
      rejection = offered.assume_error();
    } else {
      ticket_ = offered.assume_value().ticket;
      admitted = offered.assume_value().state == offer_state::kAdmitted;
      if (!admitted) shard_->waiting.emplace(handle_, shared_from_this());
    }
  }
  if (rejection) {
    OnRejected(*rejection);
  } else if (admitted) {
    OnAdmitted();
  }
}

void call_executor::OnAdmitted() {
  asio::post(strand_, [self = shared_from_this()] {
    if (self->finished_) return;
    self->admitted_ = true;
    if (self->caller_disconnected_) {
      self->FinishCall();
    } else {
      self->Run();
    }
  });
}

void call_executor::OnRejected(const admission_rejection& rejection) {
  Refuse(ProblemOf(rejection), EventOf(rejection.kind));
}

void call_executor::RefuseForLimit() {
  problem refusal;
  refusal.kind = problem_kind::kLimitExceeded;
  refusal.detail = "workspace " + classified_.workspace.value();
  refusal.retry_after = JitteredRetryAfter(kLimitRetryDelay, SystemRandom());
  Refuse(refusal, service_event::kRefusedLimit);
}

void call_executor::Refuse(const problem& reason, service_event event) {
  asio::post(strand_, [self = shared_from_this(), reason, event] {
    if (self->finished_) return;
    self->outcome_ = event;
    self->SendProblem(reason);
    self->FinishCall();
  });
}

void call_executor::OnCallerDisconnected() {
  asio::post(strand_, [self = shared_from_this()] {
    if (self->finished_) return;
    if (std::holds_alternative<std::monostate>(self->plan_)) {
      self->caller_disconnected_ = true;
      bool withdrawn = false;
      {
        const std::lock_guard lock(self->shard_->mutex);
        self->shard_->waiting.erase(self->handle_);
        withdrawn = self->shard_->admission.Cancel(self->ticket_);
      }
      // If the call was admitted concurrently, OnAdmitted() runs next on this
      // strand and finishes it.
      if (withdrawn) self->FinishCall();
      return;
    }
    self->Drive([](auto& plan, steady_time now) {
      return plan.OnCallerDisconnected(now);
    });
  });
}

void call_executor::Run() {
  started_ = SteadyNow();
  if (classified_.repeatable) {
    attempt_settings plan;
    plan.streamed = classified_.streamed;
    plan.deadline = arrived_ + classified_.deadline;
    plan.first_event_target = classified_.first_token_target;
    plan.between_events_target = classified_.between_tokens_target;
    plan_.emplace<attempt_plan>(plan, MakeHooks());
  } else {
    claim_flow_settings flow;
    flow.key = claim_key{classified_.workspace, classified_.key};
    flow.request_hash =
        HashContent(classified_.method + "\n" + classified_.pool.value() +
                    "\n" + classified_.target + "\n" + request_.body);
    flow.owner =
        claim_owner{services_.vm, services_.incarnation, handle_.value()};
    flow.deadline = arrived_ + classified_.deadline;
    plan_.emplace<claim_flow>(flow, MakeHooks());
  }
  Drive([](auto& plan, steady_time now) { return plan.Start(now); });
}

call_hooks call_executor::MakeHooks() {
  call_hooks hooks;
  hooks.choose = [this](const std::vector<endpoint_id>& tried) {
    return Choose(tried);
  };
  hooks.next_attempt = [this] {
    return attempt_id(id_.value() + "-" + std::to_string(++attempts_));
  };
  hooks.random = SystemRandom();
  hooks.budget = &shard_->budget;
  return hooks;
}

std::optional<endpoint_id> call_executor::Choose(
    const std::vector<endpoint_id>& tried) {
  constexpr std::size_t kMaxExcluded = 16;
  endpoint_chooser& chooser = shard_->chooser;
  const placement& table = chooser.table();
  std::array<endpoint_index, kMaxExcluded> excluded{};
  std::size_t count = 0;
  for (const endpoint_id& id : tried) {
    const auto index = table.IndexOf(id);
    if (index && count < kMaxExcluded) excluded.at(count++) = *index;
  }
  choice_request query;
  query.key = PlacementKey(classified_.placement_text);
  query.prefix_tokens = classified_.prompt_tokens;
  query.cost = classified_.cost;
  query.excluded = std::span(excluded.data(), count);
  const steady_time now = SteadyNow();
  const auto chosen = chooser.Choose(query, now);
  const auto probe =
      chosen ? chosen.assume_value().probe : chosen.assume_error().probe;
  if (probe) probe_ = table.endpoints()[*probe].id;
  if (!chosen) return std::nullopt;
  const endpoint_index index = chosen.assume_value().index;
  ReleaseEndpoint();
  chooser.OnSent(query.key, index, now);
  counted_endpoint_ = table.endpoints()[index].id;
  return counted_endpoint_;
}

template <class Step>
void call_executor::Drive(Step step) {
  call_actions actions;
  {
    const std::lock_guard lock(shard_->mutex);
    const steady_time now = SteadyNow();
    std::visit(
        [&](auto& plan) {
          using plan_type = std::decay_t<decltype(plan)>;
          if constexpr (!std::is_same_v<plan_type, std::monostate>) {
            actions = step(plan, now);
          }
        },
        plan_);
  }
  // Dispatch() queues a probe for an endpoint without a recent sign of
  // availability.
  if (probe_) services_.membership.Dispatch(*std::exchange(probe_, {}));
  Execute(actions);
}

void call_executor::Execute(const call_actions& actions) {
  for (const call_action& action : actions) {
    std::visit([this](const auto& concrete) { Perform(concrete); }, action);
  }
}

void call_executor::Perform(const start_attempt& action) {
  const dispatch_decision decision =
      services_.membership.Dispatch(action.endpoint);
  const auto status = services_.membership.Find(action.endpoint);
  if (decision != dispatch_decision::kUsable || !status) {
    FailAttempt(action.attempt);
    return;
  }
  const steady_time now = SteadyNow();
  attempt_.emplace(running_attempt{action.attempt, action.endpoint,
                                   status->endpoint.incarnation, 0, now,
                                   false});
  endpoint_call call = MakeEndpointCall(request_, classified_, action, id_,
                                        status->endpoint.address, now);
  call.on_connected = [self = shared_from_this(), id = action.attempt] {
    return self->ConfirmSend(id);
  };
  call.on_headers = [self = shared_from_this(), id = action.attempt](
                        int code, const http_field_list& fields) {
    asio::post(self->strand_, [self, id, code, fields] {
      self->HandleHead(id, code, fields);
    });
  };
  call.on_data = [self = shared_from_this(),
                  id = action.attempt](std::string data) {
    asio::post(self->strand_, [self, id, data = std::move(data)] {
      self->HandleData(id, data);
    });
  };
  call.on_end = [self = shared_from_this(),
                 id = action.attempt](endpoint_call_end end) {
    asio::post(self->strand_, [self, id, end] { self->HandleEnd(id, end); });
  };
  attempt_->call = services_.client.Start(std::move(call));
}

void call_executor::FailAttempt(const attempt_id& attempt) {
  asio::post(strand_, [self = shared_from_this(), attempt] {
    self->Drive([&attempt](auto& plan, steady_time now) {
      return plan.OnFailure(attempt, now);
    });
  });
}

bool call_executor::ConfirmSend(const attempt_id& attempt) {
  const std::lock_guard lock(shard_->mutex);
  const steady_time now = SteadyNow();
  if (auto* plan = std::get_if<attempt_plan>(&plan_)) {
    return plan->ConfirmSend(attempt, now);
  }
  auto* flow = std::get_if<claim_flow>(&plan_);
  return flow != nullptr && flow->ConfirmSend(attempt, now);
}

void call_executor::HandleHead(const attempt_id& attempt, int status,
                               const http_field_list& fields) {
  if (attempt_ && attempt_->id == attempt) ReportAttempt(status, fields);
  const response_head head =
      MakeResponseHead(status, fields, classified_.method);
  Drive([&](auto& plan, steady_time now) {
    return plan.OnHead(attempt, head, now);
  });
}

void call_executor::HandleData(const attempt_id& attempt,
                               const std::string& data) {
  Drive([&](auto& plan, steady_time now) {
    return plan.OnData(attempt, data, now);
  });
}

void call_executor::HandleEnd(const attempt_id& attempt,
                              endpoint_call_end end) {
  const bool done = end == endpoint_call_end::kComplete;
  if (!done && attempt_ && attempt_->id == attempt) ReportBrokenAttempt();
  Drive([&](auto& plan, steady_time now) {
    return done ? plan.OnEnd(attempt, now) : plan.OnFailure(attempt, now);
  });
}

void call_executor::ReportAttempt(int status, const http_field_list& fields) {
  attempt_report report = NewReport();
  report.succeeded = !IsServerError(status);
  // A success is reported once, with the head. A stream that breaks later is
  // reported as a failure in addition.
  if (attempt_->reported && report.succeeded) return;
  const auto* pause = FindField(fields, kRetryAfterField);
  if (status == kStatusUnavailable && pause != nullptr) {
    report.pause = ParseRetryAfter(pause->value);
    LogEvent(
        log_level::kInfo, report.pause ? "endpoint_paused" : "pause_ignored",
        {{"endpoint", attempt_->endpoint.value()}, {"request", id_.value()}});
  }
  if (const auto* state = FindField(fields, "X-Endpoint-State")) {
    report.state = ParseEndpointState(state->value);
  }
  if (const auto* load = FindField(fields, "X-Endpoint-Load")) {
    report.load = ParseEndpointLoad(load->value);
  }
  Report(report);
}

void call_executor::ReportBrokenAttempt() { Report(NewReport()); }

attempt_report call_executor::NewReport() const {
  attempt_report report;
  report.incarnation = attempt_->incarnation;
  report.sent_at = attempt_->sent_at;
  return report;
}

void call_executor::Report(const attempt_report& report) {
  attempt_->reported = true;
  services_.membership.OnAttempt(attempt_->endpoint, report, *shard_);
}

void call_executor::Perform(const cancel_attempt& action) {
  if (!attempt_ || attempt_->id != action.attempt) return;
  services_.client.Cancel(attempt_->call);
  attempt_.reset();
}

void call_executor::Perform(const send_claim& action) {
  claim_command command = action.command;
  command.retention = classified_.claim_retention;
  services_.send_claim(command, [self = shared_from_this()](
                                    std::optional<claim_response> response) {
    asio::post(self->strand_, [self, response = std::move(response)] {
      self->Drive([&response](auto& plan, steady_time now) -> call_actions {
        using plan_type = std::decay_t<decltype(plan)>;
        if constexpr (std::is_same_v<plan_type, claim_flow>) {
          return response ? plan.OnClaimResponse(*response, now)
                          : plan.OnClaimUnavailable(now);
        } else {
          return {};
        }
      });
    });
  });
}

void call_executor::Perform(const wake_at& action) {
  timer_.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          action.at.time_since_epoch())));
  timer_.async_wait([self = shared_from_this()](std::error_code error) {
    if (error) return;
    self->Drive([](auto& plan, steady_time now) { return plan.OnTimer(now); });
  });
}

void call_executor::Perform(const deliver_bytes& action) {
  const steady_time now = SteadyNow();
  if (!first_output_) first_output_ = now;
  last_output_ = now;
  output_events_ += CountEvents(action.bytes);
  if (!response_begun_) {
    response_begun_ = true;
    responder_->Begin(200, {{"Content-Type", "text/event-stream"},
                            {"Cache-Control", "no-store"},
                            {"X-Request-Id", id_.value()}});
  }
  responder_->Write(action.bytes);
}

void call_executor::Perform(const end_delivery& /*action*/) {
  outcome_ = service_event::kGood;
  responder_->End();
}

void call_executor::Perform(const abort_delivery& action) {
  // The final [DONE] is omitted, so that the caller does not take the stream as
  // complete.
  outcome_ = service_event::kFailedTruncated;
  final_failure failed;
  failed.kind = action.reason;
  responder_->Write("data: {\"error\":" + ProblemJson(ProblemOf(failed)) +
                    "}\n\n");
  responder_->End();
}

void call_executor::Perform(const deliver_response& action) {
  const steady_time now = SteadyNow();
  first_output_ = now;
  last_output_ = now;
  outcome_ = action.response.status < 500 ? service_event::kGood
                                          : service_event::kFailedEndpoint;
  http_field_list fields = CallerFields(action.response.headers);
  fields.push_back({"X-Request-Id", id_.value()});
  responder_->Respond(action.response.status, fields, action.response.body);
}

void call_executor::Perform(const deliver_failure& action) {
  outcome_ = EventOf(action.failure.kind);
  SendProblem(marjoramsill::ProblemOf(action.failure));
}

void call_executor::Perform(const end_call& /*action*/) {
  // The timer's handler owns the call; cancelling it releases the call now
  // instead of at the timer's expiry.
  timer_.cancel();
  FinishCall();
}

void call_executor::SendProblem(const problem& reason) {
  http_field_list fields = {{"Content-Type", "application/problem+json"},
                            {"X-Request-Id", id_.value()}};
  if (reason.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*reason.retry_after);
    fields.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  responder_->Respond(ProblemStatus(reason.kind), fields, ProblemJson(reason));
}

void call_executor::ReleaseEndpoint() {
  if (!counted_endpoint_) return;
  const auto index = shard_->chooser.table().IndexOf(*counted_endpoint_);
  if (index) shard_->chooser.OnFinished(*index, SteadyNow());
  counted_endpoint_.reset();
}

service_event call_executor::FinalOutcome() const {
  if (*outcome_ != service_event::kGood || !first_output_) return *outcome_;
  // A response that is not streamed must arrive within the time that a stream
  // of its estimated length may take under the latency targets.
  const auto tokens = static_cast<std::int64_t>(
      classified_.streamed
          ? 0
          : classified_.cost.value() - classified_.prompt_tokens.value());
  const auto allowed = classified_.first_token_target +
                       classified_.between_tokens_target * tokens;
  if (*first_output_ - arrived_ > allowed) {
    return service_event::kLateFirstToken;
  }
  if (output_events_ > 1) {
    const auto gaps = static_cast<std::int64_t>(output_events_ - 1);
    if (last_output_ - *first_output_ >
        classified_.between_tokens_target * gaps) {
      return service_event::kSlowBetweenTokens;
    }
  }
  return service_event::kGood;
}

void call_executor::CountOutcome() {
  if (!outcome_) return;
  const service_event event = FinalOutcome();
  const auto key = counter_key{
      classified_.rank, services_.domain,
      classified_.limits.weight > 1 ? size_class::kLarge : size_class::kSmall};
  shard_->counters.Count(key, event, SteadyNow());
  services_.metrics.CountRequest(classified_.rank, event);
}

void call_executor::FinishCall() {
  if (finished_) return;
  finished_ = true;
  const steady_time now = SteadyNow();
  const cost_units used =
      output_events_ > 0
          ? cost_units(classified_.prompt_tokens.value() + output_events_)
          : classified_.cost;
  admission_actions actions;
  {
    const std::lock_guard lock(shard_->mutex);
    shard_->waiting.erase(handle_);
    ReleaseEndpoint();
    CountOutcome();
    if (admitted_) {
      const auto cost = static_cast<double>(classified_.cost.value());
      const auto service_time = static_cast<double>((now - started_).count());
      shard_->mean_cost += kAverageWeight * (cost - shard_->mean_cost);
      shard_->service_us_per_cost +=
          kAverageWeight * (service_time / cost - shard_->service_us_per_cost);
      shard_->admission.Finish(ticket_, used, now, actions);
    }
  }
  NotifyCalls(*shard_, actions);
  if (on_end_) on_end_(used);
}

}  // namespace marjoramsill
