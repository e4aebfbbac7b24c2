#ifndef MARJORAMSILL_REQUEST_CALL_RESULT_H_
#define MARJORAMSILL_REQUEST_CALL_RESULT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"
#include "types/random_source.h"

namespace marjoramsill {

/// What is known about the execution of a request. kNotRun means that no byte
/// of it was sent to an endpoint; it says nothing about an earlier request with
/// the same idempotency key.
enum class execution_status : std::uint8_t { kNotRun, kOutcomeUnknown, kRun };

/// Value of the problem member `run`.
std::string_view ExecutionStatusName(execution_status value);

/// Why a call failed, with the HTTP status of the problem response.
enum class failure_kind : std::uint8_t {
  kClaimUnavailable,   // 503: no committed claim in time
  kClaimsFull,         // 503: the claim group is full
  kInProgress,         // 409: another request with this key is running
  kOutcomeUnknown,     // 409: an earlier request's outcome was lost
  kKeyReused,          // 422: key used with another request
  kResponseNotStored,  // 409: it ran; the response was too large to store
  kNoEndpoint,         // 503: no endpoint could be tried
  kEndpointFailed,     // 502: attempts failed
  kResponseLost,       // 502: sent once, response lost, not repeated
  kDeadlineExceeded,   // 504
  kResponseTooLarge,   // 502: the response exceeds the buffer limit
};

/// Name of the failure, for example "in-progress".
std::string_view FailureKindName(failure_kind kind);
int FailureStatus(failure_kind kind);

/// A failure that ends the call. Sent to the caller as a problem response.
struct final_failure {
  failure_kind kind = failure_kind::kEndpointFailed;
  execution_status run = execution_status::kOutcomeUnknown;
  /// Zero if a retry cannot succeed; Retry-After is then omitted.
  std::chrono::seconds retry_after{0};
  /// Only for kResponseNotStored: status, size and hash of the response.
  std::uint16_t stored_status = 0;
  std::uint64_t stored_body_size = 0;
  content_hash stored_body_hash;
};

/// A complete response of an endpoint.
struct complete_response {
  std::uint16_t status = 0;
  http_fields headers;
  std::string body;

  friend bool operator==(const complete_response&,
                         const complete_response&) = default;
};

/// A uniformly distributed number of seconds in [base, 2 * base], at least 1.
std::chrono::seconds JitteredRetryAfter(std::chrono::seconds base,
                                        const random_source& random);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CALL_RESULT_H_
