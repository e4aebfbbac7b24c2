#ifndef MARJORAMSILL_REQUEST_SSE_PARSER_H_
#define MARJORAMSILL_REQUEST_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "types/result.h"

namespace marjoramsill {

enum class sse_error : std::uint8_t {
  kEventTooLarge,
  /// A line that is neither a comment nor a field of the standard.
  kUnknownField,
  /// A control character other than tab within a line.
  kControlCharacter,
};

std::string_view SseErrorName(sse_error error);

/// Incremental parser of an endpoint's text/event-stream. Stricter than the
/// standard, which ignores unknown lines: here they mean that the bytes are not
/// an event stream.
class sse_parser {
 public:
  static constexpr std::size_t kDefaultMaxEventBytes = std::size_t{256} * 1024;

  explicit sse_parser(std::size_t max_event_bytes = kDefaultMaxEventBytes);

  /// Appends the data of each event that `bytes` completes. Comments and events
  /// without data are passed over. After an error the parser stays failed.
  result<void, sse_error> Feed(std::string_view bytes,
                               std::vector<std::string>& events);

 private:
  result<void, sse_error> TakeLine(std::vector<std::string>& events);

  std::size_t max_event_bytes_;
  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool after_return_ = false;
  bool failed_ = false;
  sse_error error_ = sse_error::kEventTooLarge;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_SSE_PARSER_H_
