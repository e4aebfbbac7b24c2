#ifndef MARJORAMSILL_CONNECTION_CALLER_MESSAGE_H_
#define MARJORAMSILL_CONNECTION_CALLER_MESSAGE_H_

#include <cstddef>
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

/// Memory of a request whose head has this size. Many short fields take far
/// more than their bytes.
inline std::size_t HeldBytes(const caller_message& message,
                             std::size_t head_bytes) {
  return head_bytes + message.fields.capacity() * sizeof(http_field) +
         message.body.size();
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALLER_MESSAGE_H_
