#ifndef MARJORAMSILL_CONNECTION_PARSE_STATE_H_
#define MARJORAMSILL_CONNECTION_PARSE_STATE_H_

namespace marjoramsill {

/// How far the parser of one message is.
enum class parse_state {
  /// Nothing of the message has arrived.
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
