#include "claims/claim_test_harness.h"

#include <algorithm>
#include <utility>

#include "process/claims/claim_key.h"
#include "process/claims/claim_time.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxCalls = 12;

}  // namespace

claim_test_harness::claim_test_harness(const schedule& steps,
                                       claim_test_counts& counts)
    : reader_(steps), counts_(counts) {}

void claim_test_harness::Run() {
  while (!reader_.ended()) Step();
  // The faults end: every message arrives and every timer expires.
  for (int i = 0; i < 40; ++i) {
    while (!network_.empty()) Deliver(0);
    Advance(milliseconds(500));
  }
  CheckEnd();
}

void claim_test_harness::Step() {
  const std::size_t kind = reader_.Pick(16);
  if (kind <= 1) {
    Submit();
  } else if (kind <= 6) {
    if (!network_.empty()) Deliver(reader_.Pick(network_.size()));
  } else if (kind == 7) {
    if (!network_.empty()) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(
                                            reader_.Pick(network_.size())));
    }
  } else if (kind == 8) {
    if (!network_.empty()) {
      network_.push_back(message(network_[reader_.Pick(network_.size())]));
    }
  } else if (kind == 9) {
    Advance(milliseconds(1 + reader_.Pick(900)));
  } else if (kind == 10) {
    Crash(reader_.Pick(incarnations_.size()));
  } else if (kind <= 13) {
    AdvanceEndpoint();
  } else if (kind == 14) {
    InjectFault();
  } else {
    Advance(milliseconds(1 + reader_.Pick(20)));
  }
}

// Callers repeat requests with two keys through any VM, sometimes with a
// different body.
void claim_test_harness::Submit() {
  if (calls_.size() >= kMaxCalls) return;
  call next;
  next.vm = reader_.Pick(incarnations_.size());
  next.key = {workspace_id("rink"),
              idempotency_key(std::to_string(reader_.Pick(2)))};
  next.hash = {0, reader_.Pick(5) == 0 ? 1U : 0U};
  claim_flow_settings settings;
  settings.key = next.key;
  settings.request_hash = next.hash;
  settings.owner = {vm_id("vm-" + std::to_string(next.vm)),
                    incarnation_number(incarnations_[next.vm]),
                    ++serials_[next.vm]};
  next.deadline = now_ + milliseconds(300 + reader_.Pick(3000));
  settings.deadline = next.deadline;
  settings.claim_timeout = std::chrono::seconds(1);
  settings.outcome_resend_timeout = std::chrono::seconds(2);
  call_hooks hooks;
  hooks.choose =
      [](const std::vector<endpoint_id>& tried) -> std::optional<endpoint_id> {
    return endpoint_id("e" + std::to_string(tried.size()));
  };
  hooks.next_attempt = [this] {
    return attempt_id(std::to_string(++attempt_ids_));
  };
  hooks.random = [] { return 7; };
  hooks.budget = &budget_;
  next.flow = std::make_unique<claim_flow>(settings, hooks);
  calls_.push_back(std::move(next));
  Execute(calls_.size() - 1, calls_.back().flow->Start(now_));
}

void claim_test_harness::Deliver(std::size_t index) {
  const message next = network_[index];
  network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  if (next.to_table) {
    Apply(next);
    return;
  }
  // Occasionally a response reaches another call of the same VM.
  std::size_t target = next.call;
  if (reader_.Pick(16) == 1) {
    const std::size_t other = reader_.Pick(calls_.size());
    if (calls_[other].vm == calls_[target].vm) target = other;
  }
  if (!calls_[target].flow) return;
  const auto decoded = DecodeClaimResponse(next.bytes);
  RC_ASSERT(decoded.has_value());
  const auto actions =
      calls_[target].flow->OnClaimResponse(decoded.value(), now_);
  const bool granted = decoded.value().outcome == claim_outcome::kGranted;
  if (granted && !actions.empty() &&
      std::holds_alternative<send_claim>(actions.front())) {
    ++counts_.late_grants;
  }
  Execute(target, actions);
}

void claim_test_harness::Apply(const message& request) {
  auto command = DecodeClaimCommand(request.bytes);
  RC_ASSERT(command.has_value());
  const auto stamp = std::max(std::chrono::microseconds(0),
                              now_.time_since_epoch() - leader_lag_);
  command.value().time = claim_time(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(stamp).count()));
  const std::string bytes = EncodeClaimCommand(command.value());
  const auto applied = table_.Apply(bytes);
  RC_ASSERT(applied.has_value());
  RC_ASSERT(replica_.Apply(bytes).value() == applied.value());
  network_.push_back(
      {request.call, false, EncodeClaimResponse(applied.value())});
}

// Timers expire in order and exactly at their time.
void claim_test_harness::Advance(milliseconds step) {
  const steady_time end = now_ + step;
  while (true) {
    call* next = nullptr;
    for (call& candidate : calls_) {
      if (!candidate.flow || !candidate.timer || *candidate.timer > end) {
        continue;
      }
      if (next == nullptr || *candidate.timer < *next->timer) {
        next = &candidate;
      }
    }
    if (next == nullptr) break;
    now_ = std::max(now_, *next->timer);
    next->timer.reset();
    Execute(static_cast<std::size_t>(next - calls_.data()),
            next->flow->OnTimer(now_));
  }
  now_ = end;
  for (const call& each : calls_) {
    if (each.flow && each.caller_present && now_ > each.deadline) {
      RC_ASSERT(each.response_count == 1);
    }
  }
}

void claim_test_harness::Crash(std::size_t vm) {
  ++incarnations_[vm];
  serials_[vm] = 0;
  for (call& each : calls_) {
    if (each.vm == vm) each.flow.reset();
  }
  for (attempt& each : attempts_) {
    if (calls_[each.call].vm == vm) each.open = false;
  }
}

void claim_test_harness::InjectFault() {
  const std::size_t kind = reader_.Pick(4);
  if (kind == 0) {
    leader_lag_ = milliseconds(reader_.Pick(2000));
    return;
  }
  if (kind == 1) {
    claim_table restored;
    RC_ASSERT(restored.Restore(replica_.Snapshot()).has_value());
    replica_ = std::move(restored);
    return;
  }
  if (calls_.empty()) return;
  const std::size_t index = reader_.Pick(calls_.size());
  call& target = calls_[index];
  if (!target.flow) return;
  if (kind == 2) {
    target.caller_present = false;
    Execute(index, target.flow->OnCallerDisconnected(now_));
  } else {
    Execute(index, target.flow->OnClaimUnavailable(now_));
  }
}

void claim_test_harness::AdvanceEndpoint() {
  if (attempts_.empty()) return;
  attempt& target = attempts_[reader_.Pick(attempts_.size())];
  if (!target.open) {
    // Delayed events of a closed connection.
    if (target.sent) SendResponse(target, reader_.Pick(4));
  } else if (!target.sent) {
    Connect(target);
  } else {
    Respond(target);
  }
}

void claim_test_harness::Connect(attempt& target) {
  const std::size_t index = target.call;
  if (reader_.Pick(4) == 1) {
    target.open = false;
    Execute(index, calls_[index].flow->OnFailure(target.id, now_));
    return;
  }
  target.sent = calls_[index].flow->ConfirmSend(target.id, now_);
  target.open = target.sent;
  if (!target.sent) return;
  calls_[index].sent = true;
  RC_ASSERT(!calls_[index].reported_not_run);
  const claim_key& key = calls_[index].key;
  ++runs_[key];
  ++counts_.runs;
  RC_ASSERT(runs_[key] <= 1);
  responses_[key] = ResponseOf(target);
  run_hashes_[key] = calls_[index].hash;
}

void claim_test_harness::Respond(attempt& target) {
  target.open = false;
  const std::size_t fault = reader_.Pick(8);
  if (fault == 1) {
    Execute(target.call, calls_[target.call].flow->OnFailure(target.id, now_));
    return;
  }
  SendResponse(target, fault);
}

complete_response claim_test_harness::ResponseOf(const attempt& target) const {
  return {201,
          {{"Location", "/" + calls_[target.call].key.key.value()}},
          "run " + target.id.value()};
}

// Fault 2 sends the response to another request and fault 3 a truncated
// response. Other numbers are no fault.
void claim_test_harness::SendResponse(const attempt& target,
                                      std::size_t fault) {
  // A copy, because the actions may add an attempt and reallocate the vector.
  const attempt source = target;
  complete_response response = ResponseOf(source);
  if (fault == 2) response.body = "response to another request";
  response_head head;
  head.status = response.status;
  head.echoed = fault == 2 ? attempt_id("crossed") : source.id;
  head.framing = body_framing::kLength;
  head.content_length = response.body.size();
  head.headers = response.headers;
  const auto flow = [&]() { return calls_[source.call].flow.get(); };
  if (flow() == nullptr) return;
  Execute(source.call, flow()->OnHead(source.id, head, now_));
  const std::size_t size = response.body.size() - (fault == 3 ? 1 : 0);
  Execute(source.call,
          flow()->OnData(source.id, response.body.substr(0, size), now_));
  Execute(source.call, flow()->OnEnd(source.id, now_));
}

void claim_test_harness::Execute(std::size_t index,
                                 const call_actions& actions) {
  call& target = calls_[index];
  for (const call_action& action : actions) {
    if (const auto* start = std::get_if<start_attempt>(&action)) {
      attempts_.push_back({index, start->attempt});
    } else if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
      for (attempt& each : attempts_) {
        if (each.id == cancel->attempt) each.open = false;
      }
    } else if (const auto* claim = std::get_if<send_claim>(&action)) {
      network_.push_back({index, true, EncodeClaimCommand(claim->command)});
    } else if (const auto* wake = std::get_if<wake_at>(&action)) {
      target.timer = wake->at;
    } else if (const auto* complete = std::get_if<deliver_response>(&action)) {
      CheckResponse(target, complete->response);
    } else if (const auto* failed = std::get_if<deliver_failure>(&action)) {
      CheckFailure(target, failed->failure);
    }
  }
}

void claim_test_harness::CheckResponse(call& target,
                                       const complete_response& response) {
  RC_ASSERT(++target.response_count == 1);
  RC_ASSERT(runs_[target.key] == 1);
  RC_ASSERT(run_hashes_[target.key] == target.hash);
  RC_ASSERT(responses_[target.key] == response);
  ++(target.sent ? counts_.first_responses : counts_.stored_responses);
}

void claim_test_harness::CheckFailure(call& target,
                                      const final_failure& failure) {
  RC_ASSERT(++target.response_count == 1);
  if (failure.run == execution_status::kNotRun) {
    RC_ASSERT(!target.sent);
    target.reported_not_run = true;
    ++counts_.not_run;
  } else {
    RC_ASSERT(failure.run == execution_status::kOutcomeUnknown);
    ++counts_.unknown;
  }
}

void claim_test_harness::CheckEnd() {
  for (const call& each : calls_) {
    RC_ASSERT(!(each.reported_not_run && each.sent));
    if (!each.flow) continue;
    RC_ASSERT(each.flow->ended());
    if (each.caller_present) RC_ASSERT(each.response_count == 1);
  }
  RC_ASSERT(table_.Snapshot() == replica_.Snapshot());
}

}  // namespace marjoramsill
