#ifndef MARJORAMSILL_REQUEST_BODY_COLLECTOR_H_
#define MARJORAMSILL_REQUEST_BODY_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "request/final_answer.h"
#include "request/response_head.h"
#include "types/result.h"

namespace marjoramsill {

enum class body_error : std::uint8_t { kTruncated, kTooLarge, kTooLong };

/// Collects one whole response and hands it out only if it is complete.
class body_collector {
 public:
  static constexpr std::size_t kDefaultMaxBytes = std::size_t{8} * 1024 * 1024;

  body_collector(response_head head, std::size_t max_bytes);

  result<void, body_error> Add(std::string_view bytes);
  /// The connection reported the end of the message. May be called once.
  result<whole_response, body_error> Finish();

 private:
  response_head head_;
  std::size_t max_bytes_;
  std::string body_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_BODY_COLLECTOR_H_
