#ifndef MARJORAMSILL_PROCESS_ENTRY_CALL_OUTCOME_H_
#define MARJORAMSILL_PROCESS_ENTRY_CALL_OUTCOME_H_

#include <cstddef>

namespace marjoramsill {

/// How a request of a caller ended.
enum class call_outcome {
  /// The endpoint's success was passed on in full.
  kServed,
  /// The endpoint's failure was passed on.
  kEndpointFailure,
  /// Not run: nothing could serve it in time.
  kRefused,
  /// No route, or no valid key.
  kDenied,
  /// The outcome at the endpoint is unknown.
  kFailed,
  /// No answer within the time allowed.
  kTimedOut,
  /// An answer that had begun was cut off.
  kCutOff,
  /// The caller left first.
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
