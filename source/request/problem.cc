#include "request/problem.h"

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace marjoramsill {
namespace {

struct problem_entry {
  problem_kind kind;
  std::string_view name;
  int status;
  std::string_view title;
};

constexpr std::array kProblems = {
    problem_entry{problem_kind::kMalformedRequest, "malformed-request", 400,
                  "The request is not well formed"},
    problem_entry{problem_kind::kBodyTooLarge, "body-too-large", 413,
                  "The request body is too large"},
    problem_entry{problem_kind::kUnknownWorkspace, "unknown-workspace", 403,
                  "The workspace is not in the policy"},
    problem_entry{problem_kind::kRankNotAllowed, "rank-not-allowed", 403,
                  "The workspace may not use this rank"},
    problem_entry{problem_kind::kInvalidHeader, "invalid-header", 400,
                  "A request header has an invalid value"},
    problem_entry{problem_kind::kUnknownModel, "unknown-model", 404,
                  "The model or service is not in the policy"},
    problem_entry{problem_kind::kNotFound, "not-found", 404,
                  "There is nothing at this path"},
    problem_entry{problem_kind::kMissingIdempotencyKey,
                  "missing-idempotency-key", 400,
                  "This call needs an Idempotency-Key"},
    problem_entry{problem_kind::kKeyReused, "key-reused", 422,
                  "The Idempotency-Key belongs to another request"},
    problem_entry{problem_kind::kInProgress, "in-progress", 409,
                  "The first call with this key is in progress"},
    problem_entry{problem_kind::kOutcomeUnknown, "outcome-unknown", 409,
                  "The outcome is unknown and the call is not repeated"},
    problem_entry{problem_kind::kResponseNotStored, "response-not-stored", 409,
                  "The call has run; its response was too large to store"},
    problem_entry{problem_kind::kResponseLost, "response-lost", 502,
                  "The call was sent once and its response was lost"},
    problem_entry{problem_kind::kResponseTooLarge, "response-too-large", 502,
                  "The response is larger than the buffer"},
    problem_entry{problem_kind::kLimitExceeded, "limit-exceeded", 429,
                  "The workspace is at its limit"},
    problem_entry{problem_kind::kOverloaded, "overloaded", 503,
                  "The fleet is at capacity for this rank"},
    problem_entry{problem_kind::kDeadlineExceeded, "deadline-exceeded", 504,
                  "The deadline cannot be met"},
    problem_entry{problem_kind::kNoEndpoint, "no-endpoint", 503,
                  "No endpoint can take the request"},
    problem_entry{problem_kind::kControlUnavailable, "control-unavailable", 503,
                  "The claim group cannot be reached"},
    problem_entry{problem_kind::kEndpointFailed, "endpoint-failed", 502,
                  "The endpoint failed"},
    problem_entry{problem_kind::kNotReady, "not-ready", 503,
                  "This VM has no policy yet"},
};

const problem_entry& Entry(problem_kind kind) {
  return kProblems.at(static_cast<std::size_t>(kind));
}

constexpr bool TableMatchesEnum() {
  for (std::size_t i = 0; i < kProblems.size(); ++i) {
    if (static_cast<std::size_t>(kProblems[i].kind) != i) return false;
  }
  return true;
}
static_assert(TableMatchesEnum(), "Entry() indexes the table by kind");

problem_kind KindOf(failure_kind kind) {
  switch (kind) {
    case failure_kind::kClaimUnavailable:
      return problem_kind::kControlUnavailable;
    case failure_kind::kClaimsFull:
      return problem_kind::kOverloaded;
    case failure_kind::kInProgress:
      return problem_kind::kInProgress;
    case failure_kind::kOutcomeUnknown:
      return problem_kind::kOutcomeUnknown;
    case failure_kind::kKeyReused:
      return problem_kind::kKeyReused;
    case failure_kind::kResponseNotStored:
      return problem_kind::kResponseNotStored;
    case failure_kind::kNoEndpoint:
      return problem_kind::kNoEndpoint;
    case failure_kind::kEndpointFailed:
      return problem_kind::kEndpointFailed;
    case failure_kind::kResponseLost:
      return problem_kind::kResponseLost;
    case failure_kind::kDeadlineExceeded:
      return problem_kind::kDeadlineExceeded;
    case failure_kind::kResponseTooLarge:
      return problem_kind::kResponseTooLarge;
  }
  return problem_kind::kEndpointFailed;
}

std::string DetailOf(const final_failure& failure) {
  if (failure.kind == failure_kind::kResponseNotStored) {
    return "status " + std::to_string(failure.stored_status) + ", body of " +
           std::to_string(failure.stored_body_size) + " bytes";
  }
  return std::string(Entry(KindOf(failure.kind)).title);
}

}  // namespace

std::string_view ProblemName(problem_kind kind) { return Entry(kind).name; }

int ProblemStatus(problem_kind kind) { return Entry(kind).status; }

std::string ProblemJson(const problem& value) {
  const problem_entry& entry = Entry(value.kind);
  nlohmann::ordered_json body;
  body["type"] = "urn:marjoramsill:problem:" + std::string(entry.name);
  body["title"] = entry.title;
  body["status"] = entry.status;
  body["detail"] = value.detail;
  body["run"] = ExecutionStatusName(value.run);
  if (value.retry_after) {
    body["retry_after_ms"] = value.retry_after->count();
  }
  // Details may quote input of the caller. Replace invalid UTF-8, since dump()
  // would throw otherwise.
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

problem ProblemOf(const final_failure& failure) {
  problem value;
  value.kind = KindOf(failure.kind);
  value.run = failure.run;
  value.detail = DetailOf(failure);
  if (failure.retry_after.count() > 0) value.retry_after = failure.retry_after;
  return value;
}

}  // namespace marjoramsill
