#ifndef MARJORAMSILL_PROCESS_ENTRY_CALL_OUTCOME_H_
#define MARJORAMSILL_PROCESS_ENTRY_CALL_OUTCOME_H_

#include <cstddef>

namespace marjoramsill {

/// Outcome of a caller's request.
enum class call_outcome {
  /// A successful response was forwarded completely.
  kServed,
  /// An error response of the endpoint was forwarded.
  kEndpointFailure,
  /// Not run, because no endpoint could serve it in time.
  kRefused,
  /// No route matches, or the key is not valid.
  kDenied,
  /// It is unknown whether the endpoint ran the request.
  kFailed,
  /// No response before the deadline.
  kTimedOut,
  /// The connection was closed after part of the response had been forwarded.
  kCutOff,
  /// The caller disconnected before the end of the response.
  kAbandoned,
};

inline constexpr std::size_t kCallOutcomeCount = 8;

inline const char* CallOutcomeText(call_outcome outcome) {
  constexpr const char* kTexts[kCallOutcomeCount] = {
      "served", "endpoint_failure", "refused", "denied",
      "failed", "timed_out",        "cut_off", "abandoned"};
  return kTexts[static_cast<std::size_t>(outcome)];
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CALL_OUTCOME_H_
