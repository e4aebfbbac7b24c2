#ifndef MARJORAMSILL_REQUEST_LATE_ATTEMPT_H_
#define MARJORAMSILL_REQUEST_LATE_ATTEMPT_H_

#include <string>

#include "request/endpoint_attempt.h"
#include "request/event_scanner.h"
#include "request/event_splitter.h"

namespace marjoramsill {

/// An attempt that made no progress in time. It stays open until another one
/// has begun to answer, and goes on if it makes progress before, or if the
/// other one fails.
struct late_attempt {
  endpoint_attempt attempt;
  /// The stream of the response, as far as the attempt had brought it.
  event_splitter events;
  /// Bytes of the stream that have arrived since, and the scanner that has read
  /// them.
  std::string held;
  event_scanner scanner;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_LATE_ATTEMPT_H_
