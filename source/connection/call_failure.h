#ifndef MARJORAMSILL_CONNECTION_CALL_FAILURE_H_
#define MARJORAMSILL_CONNECTION_CALL_FAILURE_H_

namespace marjoramsill {

/// Why a call to an endpoint ended without a complete response.
enum class call_failure {
  /// No connection was established; nothing was sent.
  kNotConnected,
  /// The connection broke or ended before the response was complete.
  kBroken,
  /// The endpoint sent bytes that are not an HTTP response.
  kMalformed,
  /// No response or no further event arrived within the time allowed.
  kStalled,
};

inline const char* CallFailureText(call_failure failure) {
  switch (failure) {
    case call_failure::kNotConnected:
      return "not_connected";
    case call_failure::kBroken:
      return "broken";
    case call_failure::kMalformed:
      return "malformed";
    case call_failure::kStalled:
      return "stalled";
  }
  return "unknown";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALL_FAILURE_H_
