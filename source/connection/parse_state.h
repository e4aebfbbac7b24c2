#ifndef MARJORAMSILL_CONNECTION_PARSE_STATE_H_
#define MARJORAMSILL_CONNECTION_PARSE_STATE_H_

namespace marjoramsill {

/// State of the parser of one message.
enum class parse_state {
  /// No byte of the message has arrived.
  kIdle,
  kInHead,
  kInBody,
  kComplete,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_PARSE_STATE_H_
