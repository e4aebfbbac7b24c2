#ifndef MARJORAMSILL_REQUEST_BODY_COLLECTOR_H_
#define MARJORAMSILL_REQUEST_BODY_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "request/call_result.h"
#include "request/response_head.h"
#include "types/result.h"

namespace marjoramsill {

enum class body_error : std::uint8_t {
  /// The message ended before the end of the body, or the end is not marked.
  kTruncated,
  /// Larger than the buffer limit.
  kTooLarge,
  /// More bytes than the Content-Length field declares.
  kExceedsContentLength
};

/// Buffers one response and returns it only if it is complete.
class body_collector {
 public:
  static constexpr std::size_t kDefaultMaxBytes = std::size_t{8} * 1024 * 1024;

  body_collector(response_head head, std::size_t max_bytes);

  result<void, body_error> Add(std::string_view bytes);
  /// Call once, when the connection reports the end of the message. Fails with
  /// kTruncated if the response is not complete.
  result<complete_response, body_error> Finish();

 private:
  response_head head_;
  std::size_t max_bytes_;
  std::string body_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_BODY_COLLECTOR_H_
