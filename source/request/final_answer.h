#ifndef MARJORAMSILL_REQUEST_FINAL_ANSWER_H_
#define MARJORAMSILL_REQUEST_FINAL_ANSWER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"
#include "types/random_source.h"

namespace marjoramsill {

/// What is certain about the request that an answer belongs to. kNotRun means
/// that no byte of it was sent to an endpoint. It says nothing about an earlier
/// request under the same idempotency key.
enum class run_certainty : std::uint8_t { kNotRun, kOutcomeUnknown, kRun };

/// Text of the problem member `run`.
std::string_view RunCertaintyName(run_certainty value);

enum class failure_kind : std::uint8_t {
  kClaimUnavailable,   // 503: no durable claim in time
  kClaimsFull,         // 503: the claim group is full
  kInProgress,         // 409: another request with this key is running
  kOutcomeUnknown,     // 409: an earlier request's outcome was lost
  kKeyReused,          // 422: key used with another request
  kResponseNotStored,  // 409: it ran; only the response's hash was kept
  kNoEndpoint,         // 503: no endpoint could be tried
  kEndpointFailed,     // 502: attempts failed
  kResponseLost,       // 502: sent once, response lost, not repeated
  kDeadlineExceeded,   // 504
  kResponseTooLarge,   // 502: whole response over the buffer's bound
};

/// Last path element of the problem type, for example "in-progress".
std::string_view FailureKindName(failure_kind kind);
int FailureStatus(failure_kind kind);

/// A failure that the caller is told at once; written out as a problem
/// response.
struct final_failure {
  failure_kind kind = failure_kind::kEndpointFailed;
  run_certainty run = run_certainty::kOutcomeUnknown;
  /// Zero: no Retry-After, because a repeat cannot succeed.
  std::chrono::seconds retry_after{0};
  /// kResponseNotStored: what is known of the response.
  std::uint16_t stored_status = 0;
  std::uint64_t stored_body_size = 0;
  content_hash stored_body_hash;
};

/// A complete response of an endpoint.
struct whole_response {
  std::uint16_t status = 0;
  http_fields headers;
  std::string body;

  friend bool operator==(const whole_response&,
                         const whole_response&) = default;
};

/// Uniform in [base, 2 * base], whole seconds, at least 1 s.
std::chrono::seconds JitteredRetryAfter(std::chrono::seconds base,
                                        const random_source& random);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_FINAL_ANSWER_H_
