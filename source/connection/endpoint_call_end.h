#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CALL_END_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CALL_END_H_

namespace marjoramsill {

/// How a call to an endpoint ended.
enum class endpoint_call_end {
  /// The response is complete according to its framing.
  kComplete,
  /// No connection was established, so no byte of the request was sent.
  kNotSent,
  /// The connection ended or failed before the response was complete.
  kBroken,
  /// The total timeout passed after the request may have been sent.
  kTimedOut,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CALL_END_H_
