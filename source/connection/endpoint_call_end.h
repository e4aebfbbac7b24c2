#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CALL_END_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CALL_END_H_

namespace marjoramsill {

/// How a call to an endpoint ended.
enum class endpoint_call_end {
  /// The message is whole by its own framing.
  kWhole,
  /// No connection came up, so certainly no byte of the request was sent.
  kNotSent,
  /// The connection ended or failed before the answer was whole.
  kBroken,
  /// The total timeout passed after the request may have been sent.
  kTimedOut,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CALL_END_H_
