#include "request/body_collector.h"

#include <utility>

namespace marjoramsill {

body_collector::body_collector(response_head head, std::size_t max_bytes)
    : head_(std::move(head)), max_bytes_(max_bytes) {}

result<void, body_error> body_collector::Add(std::string_view bytes) {
  if (bytes.size() > max_bytes_ - body_.size()) {
    return failure(body_error::kTooLarge);
  }
  if (head_.framing == body_framing::kLength &&
      body_.size() + bytes.size() > head_.content_length) {
    return failure(body_error::kExceedsContentLength);
  }
  body_.append(bytes);
  return success();
}

result<complete_response, body_error> body_collector::Finish() {
  const bool complete = head_.framing == body_framing::kChunked ||
                        (head_.framing == body_framing::kLength &&
                         body_.size() == head_.content_length);
  if (!complete) return failure(body_error::kTruncated);
  return complete_response{head_.status, std::move(head_.headers),
                           std::move(body_)};
}

}  // namespace marjoramsill
