#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

#include "connection/caller_connection.h"
#include "connection/large_buffer.h"
#include "connection/memory_budget.h"
#include "request/http_status.h"
#include "request/retry_after.h"

namespace marjoramsill {
namespace {

/// A request in progress takes its memory twice: for a further attempt, and in
/// the output of the connection to its endpoint.
constexpr std::size_t kRequestCopies = 2;

std::string FormatSeconds(std::chrono::milliseconds time) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f",
                std::chrono::duration<double>(time).count());
  return text;
}

}  // namespace

void caller_connection::CountIncoming() {
  const bool is_incomplete = parser_.state() != parse_state::kIdle;
  if (!is_open_ || is_lingering_ || (input_.empty() && !is_incomplete)) {
    memory_.Set(memory_kind::kIncomingRequests, 0);
    return;
  }
  memory_.Set(memory_kind::kIncomingRequests,
              input_.capacity() + (is_incomplete ? parser_.held_bytes() : 0));
}

bool caller_connection::CountRequest(std::size_t held_bytes) {
  CountIncoming();
  memory_.Set(memory_kind::kHeldRequests, kRequestCopies * held_bytes);
  memory_.Relieve(now_);
  // It may have been closed, while its last response was still unread.
  if (!memory_.IsExceededFor(held_bytes) || !is_open_) return is_open_;
  memory_.budget()->Refuse(memory_, now_);
  RefuseForMemory();
  return false;
}

void caller_connection::RefuseForMemory() {
  memory_budget* budget = memory_.budget();
  if (budget == nullptr) return;
  http_field_list fields = hooks_.memory_refusal;
  fields.push_back({kRetryAfterField, FormatSeconds(budget->RetryAfter())});
  Refuse(kStatusUnavailable, fields);
}

void caller_connection::CloseForMemory() {
  if (!is_open_) return;
  if (!has_request_ && unsent_bytes() == 0) {
    RefuseForMemory();
    return;
  }
  ReportUnreceived();
  HandleDisconnect(disconnect_cause::kMemoryExhausted);
}

std::chrono::microseconds caller_connection::StalledTime(
    steady_time now) const {
  const bool is_receiving = is_open_ && !has_request_ && !is_lingering_ &&
                            parser_.state() != parse_state::kIdle;
  if (!is_receiving) return std::chrono::microseconds(0);
  return now - std::max(idle_since_, received_at_);
}

void caller_connection::CloseStalled() {
  constexpr int kNoResponse = 0;
  hooks_.on_invalid_request(parser_.state(), kNoResponse);
  Close();
}

void caller_connection::ReleaseSent() {
  // Less often than at each send, since the rest is copied.
  if (written_ < kMaxKeptBuffer || written_ < output_.size() / 2) return;
  output_.erase(0, written_);
  output_.shrink_to_fit();
  written_ = 0;
}

}  // namespace marjoramsill
