#ifndef MARJORAMSILL_CONNECTION_CALLER_MESSAGE_H_
#define MARJORAMSILL_CONNECTION_CALLER_MESSAGE_H_

#include <string>

#include "request/http_field.h"

namespace marjoramsill {

/// A complete HTTP/1.1 request of a caller.
struct caller_message {
  std::string method;
  /// Path and query as the caller sent them.
  std::string target;
  http_field_list fields;
  std::string body;
  /// The caller expects the connection to stay open.
  bool keep_alive = true;
  /// HTTP/1.1 or later: the response may be chunked.
  bool accepts_chunks = true;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALLER_MESSAGE_H_
