#include "request/attempt_harness.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr int kTokens = 8;
const std::string kDone = "data: [DONE]\n\n";
const std::string kCompleteBody = "{\"whole\":\"response\"}";

std::string Token(int number) { return " w" + std::to_string(number); }

std::string Text() {
  std::string text;
  for (int i = 0; i < kTokens; ++i) text += Token(i);
  return text;
}

std::string Event(const attempt_id& id, const std::string& delta,
                  const std::string& finish = "null") {
  return R"(data: {"id":")" + id.value() +
         R"(","choices":[{"index":0,"delta":)" + delta +
         R"(,"finish_reason":)" + finish + "}]}\n\n";
}

// What a fault-free engine sends if the caller already has `text_so_far`.
std::vector<std::string> Events(const attempt_id& id,
                                const std::string& text_so_far) {
  std::vector<std::string> events = {
      Event(id, R"({"role":"assistant","content":""})")};
  std::string text;
  for (int i = 0; i < kTokens; ++i) {
    text += Token(i);
    if (text.size() > text_so_far.size()) {
      events.push_back(Event(id, R"({"content":")" + Token(i) + "\"}"));
    }
  }
  events.push_back(Event(id, "{}", "\"stop\""));
  events.push_back(kDone);
  return events;
}

}  // namespace

attempt_harness::attempt_harness(const schedule& steps,
                                 attempt_harness_counts& counts)
    : decisions_(steps), counts_(counts) {}

void attempt_harness::Run() {
  while (!decisions_.ended()) RunCall(decisions_.Pick(4) != 1);
  RC_ASSERT(budget_.extra_attempts() == extra_);
  RC_ASSERT(extra_ <= calls_ / 10 + retry_budget::kRetryReserve);
}

void attempt_harness::RunCall(bool streamed) {
  ++calls_;
  streamed_ = streamed;
  attempts_.clear();
  streams_.clear();
  delivered_.clear();
  sent_ = caller_disconnected_ = false;
  fault_free_ = true;
  endings_ = 0;
  timer_.reset();
  attempt_settings settings;
  settings.streamed = streamed;
  deadline_ = now_ + milliseconds(500 + decisions_.Pick(8000));
  settings.deadline = deadline_;
  settings.first_event_target = milliseconds(100);
  settings.between_events_target = milliseconds(20);
  call_hooks hooks;
  hooks.choose =
      [](const std::vector<endpoint_id>& tried) -> std::optional<endpoint_id> {
    if (tried.size() == 3) return std::nullopt;
    return endpoint_id(std::to_string(tried.size()));
  };
  hooks.next_attempt = [this] { return attempt_id(std::to_string(++ids_)); };
  hooks.random = [] { return 3; };
  hooks.budget = &budget_;
  plan_ = std::make_unique<attempt_plan>(settings, hooks);
  Execute(plan_->Start(now_));
  while (!plan_->ended()) Step();
  RC_ASSERT(endings_ == (caller_disconnected_ ? 0 : 1));
  RC_ASSERT(now_ <= deadline_);
}

attempt_harness::attempt* attempt_harness::Open() {
  for (attempt& each : attempts_) {
    if (each.open) return &each;
  }
  return nullptr;
}

void attempt_harness::Close(const attempt_id& id) {
  for (attempt& each : attempts_) {
    if (each.start.attempt == id) each.open = false;
  }
}

void attempt_harness::Step() {
  const std::size_t kind = decisions_.Pick(16);
  const attempt* open = Open();
  if (kind == 15 && decisions_.Pick(8) == 1) {
    caller_disconnected_ = true;
    Execute(plan_->OnCallerDisconnected(now_));
    RC_ASSERT(Open() == nullptr);
  } else if (kind == 14) {
    SendLate();
  } else if (kind == 13 || open == nullptr) {
    AdvanceToTimer();
  } else if (kind >= 10) {
    Fail(*open);
  } else {
    Progress(*open);
  }
}

void attempt_harness::AdvanceToTimer() {
  RC_ASSERT(timer_.has_value());
  fault_free_ = false;
  now_ = std::max(now_, *timer_);
  timer_.reset();
  Execute(plan_->OnTimer(now_));
}

// One step of a healthy endpoint.
void attempt_harness::Progress(attempt target) {
  now_ = std::min(now_ + milliseconds(1), deadline_);
  const attempt_id id = target.start.attempt;
  if (!target.sent) {
    const bool confirmed = plan_->ConfirmSend(id, now_);
    sent_ = sent_ || confirmed;
    for (attempt& each : attempts_) {
      if (each.start.attempt == id) each.sent = each.open = confirmed;
    }
    if (!confirmed) AdvanceToTimer();
  } else if (!target.head_sent) {
    SendHead(target, 200, false, true);
  } else if (target.position < target.bytes.size()) {
    SendBytes(target,
              target.bytes.substr(target.position, 40 + decisions_.Pick(200)));
  } else {
    Close(id);
    Execute(plan_->OnEnd(id, now_));
  }
}

void attempt_harness::SendHead(const attempt& target, std::uint16_t status,
                               bool mismatched, bool confirm_offset) {
  response_head head;
  head.status = status;
  head.echoed = mismatched ? attempt_id("crossed") : target.start.attempt;
  if (confirm_offset && target.start.kind == attempt_kind::kResume) {
    head.resume_offset = target.start.resume_offset;
  }
  if (!streamed_) {
    head.framing = body_framing::kLength;
    head.content_length = kCompleteBody.size();
  }
  for (attempt& each : attempts_) {
    if (each.start.attempt == target.start.attempt) {
      each.head_sent = true;
      // An endpoint that does not confirm the offset restarts the stream.
      if (!confirm_offset && each.start.kind == attempt_kind::kResume) {
        each.bytes = attempts_.front().bytes;
      }
      if (mismatched) each.bytes = Event(head.echoed, R"({"content":"alien"})");
    }
  }
  Execute(plan_->OnHead(target.start.attempt, head, now_));
}

void attempt_harness::SendBytes(const attempt& target,
                                const std::string& bytes) {
  const attempt_id id = target.start.attempt;
  for (attempt& each : attempts_) {
    if (each.start.attempt == id) each.position += bytes.size();
  }
  Execute(plan_->OnData(id, bytes, now_));
}

void attempt_harness::Fail(attempt target) {
  fault_free_ = false;
  const attempt_id id = target.start.attempt;
  const std::size_t fault = decisions_.Pick(5);
  if (target.sent && !target.head_sent && fault > 1) {
    // 2: server error, 3: response to another attempt, 4: resume not supported.
    SendHead(target, fault == 2 ? 503 : 200, fault == 3, fault != 4);
  } else if (target.head_sent && !streamed_ && fault > 1) {
    // More bytes than Content-Length declares. A router cannot detect changed
    // bytes within the declared length.
    SendBytes(target, kCompleteBody + kCompleteBody);
  } else if (target.head_sent && fault == 2) {
    SendBytes(target, "\ndata: {\"error\":{\"message\":\"engine\"}}\n\n");
  } else if (target.head_sent && fault == 3) {
    SendBytes(target, "\x01garbage\n");
  } else if (target.head_sent && fault == 4) {
    // The message ends correctly framed, but before the last event.
    Close(id);
    Execute(plan_->OnEnd(id, now_));
  } else {
    Close(id);
    Execute(plan_->OnFailure(id, now_));
  }
}

// Events of a closed connection that were still queued.
void attempt_harness::SendLate() {
  if (attempts_.empty()) return;
  const attempt target = attempts_[decisions_.Pick(attempts_.size())];
  if (target.open) return;
  RC_ASSERT(!plan_->ConfirmSend(target.start.attempt, now_));
  SendHead(target, 200, false, true);
  Execute(plan_->OnData(target.start.attempt,
                        Event(target.start.attempt, R"({"content":"late"})"),
                        now_));
  Execute(plan_->OnEnd(target.start.attempt, now_));
}

std::string attempt_harness::BytesOf(const start_attempt& start) {
  if (!streamed_) return kCompleteBody;
  std::size_t offset = 0;
  attempt_id root = start.attempt;
  if (start.kind == attempt_kind::kResume) {
    root = start.resume_attempt;
    offset = start.resume_offset;
    RC_ASSERT(streams_.count(root) == 1U);
    RC_ASSERT(offset < streams_[root].size());
  } else {
    RC_ASSERT(Text().compare(0, start.text_so_far.size(), start.text_so_far) ==
              0);
    streams_[root] = Events(root, start.text_so_far);
  }
  std::string bytes;
  for (std::size_t i = offset; i < streams_[root].size(); ++i) {
    bytes += streams_[root][i];
  }
  return bytes;
}

void attempt_harness::Begin(const start_attempt& start) {
  RC_ASSERT(Open() == nullptr);
  if (start.kind != attempt_kind::kFirst) ++extra_;
  if (start.kind == attempt_kind::kResume) ++counts_.resumes;
  if (start.kind == attempt_kind::kReplay) ++counts_.replays;
  attempt next;
  next.start = start;
  next.bytes = BytesOf(start);
  attempts_.push_back(std::move(next));
}

void attempt_harness::Execute(const call_actions& actions) {
  for (const call_action& action : actions) {
    if (const auto* start = std::get_if<start_attempt>(&action)) {
      Begin(*start);
    } else if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
      Close(cancel->attempt);
    } else if (const auto* wake = std::get_if<wake_at>(&action)) {
      timer_ = wake->at;
    } else if (const auto* bytes = std::get_if<deliver_bytes>(&action)) {
      RC_ASSERT(endings_ == 0);
      delivered_ += bytes->bytes;
    } else if (std::holds_alternative<end_delivery>(action)) {
      ++endings_;
      CheckStream();
      ++counts_.complete;
      if (attempts_.size() > 1) ++counts_.complete_after_extra;
    } else if (const auto* delivered = std::get_if<deliver_response>(&action)) {
      ++endings_;
      RC_ASSERT(delivered->response.body == kCompleteBody);
      RC_ASSERT(delivered_.empty());
    } else if (std::holds_alternative<abort_delivery>(action)) {
      ++endings_;
      RC_ASSERT(!delivered_.empty());
      RC_ASSERT(!fault_free_);
      ++counts_.aborted;
    } else if (const auto* failed = std::get_if<deliver_failure>(&action)) {
      ++endings_;
      RC_ASSERT(delivered_.empty());
      RC_ASSERT(!fault_free_);
      RC_ASSERT((failed->failure.run == execution_status::kNotRun) == !sent_);
      ++counts_.failed;
    }
  }
}

// Text, role, finish reason and id must be those of a single fault-free engine.
void attempt_harness::CheckStream() const {
  sse_parser parser;
  std::vector<std::string> events;
  RC_ASSERT(parser.Feed(delivered_, events).has_value());
  RC_ASSERT(events.back() == "[DONE]");
  events.pop_back();
  std::string text;
  int roles = 0;
  int finishes = 0;
  std::string id;
  for (const std::string& data : events) {
    const auto chunk = nlohmann::json::parse(data);
    const auto& choice = chunk["choices"][0];
    text += choice["delta"].value("content", "");
    roles += choice["delta"].contains("role") ? 1 : 0;
    finishes += choice["finish_reason"].is_null() ? 0 : 1;
    if (id.empty()) id = chunk["id"];
    RC_ASSERT(chunk["id"] == id);
  }
  RC_ASSERT(text == Text());
  RC_ASSERT(roles == 1);
  RC_ASSERT(finishes == 1);
  if (fault_free_) RC_ASSERT(delivered_ == attempts_.front().bytes);
}

}  // namespace marjoramsill
