#ifndef MARJORAMSILL_REQUEST_RESPONSE_HEAD_H_
#define MARJORAMSILL_REQUEST_RESPONSE_HEAD_H_

#include <cstdint>
#include <optional>

#include "process/claims/stored_response.h"
#include "types/ids.h"

namespace marjoramsill {

/// How the end of a response body is marked. With kUntilClose a complete body
/// cannot be distinguished from a truncated one.
enum class body_framing : std::uint8_t { kLength, kChunked, kUntilClose };

/// Head of an endpoint's response, as reported by the endpoint client.
struct response_head {
  std::uint16_t status = 0;
  /// Attempt id that the endpoint echoed in X-Attempt-Id; empty if absent.
  attempt_id echoed;
  body_framing framing = body_framing::kChunked;
  /// Only for kLength.
  std::uint64_t content_length = 0;
  /// Value of X-Resume-Offset, with which an endpoint confirms a resume.
  std::optional<std::uint64_t> resume_offset;
  http_fields headers;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_RESPONSE_HEAD_H_
