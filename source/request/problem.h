#ifndef MARJORAMSILL_REQUEST_PROBLEM_H_
#define MARJORAMSILL_REQUEST_PROBLEM_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "request/call_result.h"

namespace marjoramsill {

/// Kind of a refusal or failure. Each has one name and one HTTP status.
enum class problem_kind {
  kMalformedRequest,
  kBodyTooLarge,
  kUnknownWorkspace,
  kRankNotAllowed,
  kInvalidHeader,
  kUnknownModel,
  kNotFound,
  kMissingIdempotencyKey,
  kKeyReused,
  kInProgress,
  kOutcomeUnknown,
  kResponseNotStored,
  kResponseLost,
  kResponseTooLarge,
  kLimitExceeded,
  kOverloaded,
  kDeadlineExceeded,
  kNoEndpoint,
  kControlUnavailable,
  kEndpointFailed,
  kNotReady,
};

/// A problem response (RFC 9457) to a caller.
struct problem {
  problem_kind kind = problem_kind::kMalformedRequest;
  execution_status run = execution_status::kNotRun;
  /// One sentence that names the field and what is allowed.
  std::string detail;
  /// When the caller may retry, with jitter already applied.
  std::optional<std::chrono::milliseconds> retry_after;
};

/// Last element of the problem type, for example "in-progress".
std::string_view ProblemName(problem_kind kind);
/// HTTP status of the problem response.
int ProblemStatus(problem_kind kind);

/// The problem response for a failed call.
problem ProblemOf(const final_failure& failure);

/// Body of the response, of media type application/problem+json.
std::string ProblemJson(const problem& value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_PROBLEM_H_
