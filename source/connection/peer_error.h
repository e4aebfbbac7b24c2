#ifndef MARJORAMSILL_CONNECTION_PEER_ERROR_H_
#define MARJORAMSILL_CONNECTION_PEER_ERROR_H_

namespace marjoramsill {

/// Failure of a message to another VM.
enum class peer_error {
  /// No connection, so the message was not delivered.
  kUnreachable,
  /// The connection ended before the response; delivery is uncertain.
  kConnectionLost,
  /// No response in time; delivery is uncertain.
  kTimedOut,
  /// The other VM refused the message or does not support its kind.
  kRefused,
  /// Too many messages wait for this VM; the message was not sent.
  kQueueFull,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_PEER_ERROR_H_
