#ifndef MARJORAMSILL_CONNECTION_DISCONNECT_CAUSE_H_
#define MARJORAMSILL_CONNECTION_DISCONNECT_CAUSE_H_

namespace marjoramsill {

/// Why the connection of a caller ended before the response was complete.
enum class disconnect_cause {
  /// The caller closed the connection, or only its sending side.
  kClosed,
  /// The connection was reset or failed while it was read.
  kReadFailed,
  /// The connection was reset or failed while it was written.
  kWriteFailed,
  /// This process closed it: the caller reads too slowly.
  kTooMuchUnsent,
  /// This process closed it: the memory for connections is exhausted.
  kMemoryExhausted,
};

/// Name of the cause as written to the log.
inline const char* DisconnectCauseText(disconnect_cause cause) {
  switch (cause) {
    case disconnect_cause::kClosed:
      return "caller_closed";
    case disconnect_cause::kReadFailed:
      return "read_failed";
    case disconnect_cause::kWriteFailed:
      return "write_failed";
    case disconnect_cause::kTooMuchUnsent:
      return "too_much_unsent";
    case disconnect_cause::kMemoryExhausted:
      return "memory_exhausted";
  }
  return "unknown";
}

/// True if this process ended the connection, and not its caller.
inline bool IsClosedHere(disconnect_cause cause) {
  return cause == disconnect_cause::kTooMuchUnsent ||
         cause == disconnect_cause::kMemoryExhausted;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_DISCONNECT_CAUSE_H_
