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
  /// A line that is neither a comment nor a field defined by the standard.
  kUnknownField,
  /// A control character other than tab within a line.
  kControlCharacter,
};

/// Incremental parser of an endpoint's text/event-stream. Stricter than the
/// standard, which ignores unknown lines: here an unknown line is an error,
/// since it indicates that the response is not an event stream.
class sse_parser {
 public:
  static constexpr std::size_t kDefaultMaxEventBytes = std::size_t{256} * 1024;

  explicit sse_parser(std::size_t max_event_bytes = kDefaultMaxEventBytes);

  /// Appends the data of each event that `bytes` completes to `events`.
  /// Comments and events without data are skipped. After an error every call
  /// fails with the same error.
  result<void, sse_error> Feed(std::string_view bytes,
                               std::vector<std::string>& events);

 private:
  result<void, sse_error> HandleLine(std::vector<std::string>& events);

  std::size_t max_event_bytes_;
  std::string line_;
  std::string data_;
  bool has_data_ = false;
  /// The last byte was CR; a following LF belongs to the same line end.
  bool after_cr_ = false;
  bool failed_ = false;
  sse_error error_ = sse_error::kEventTooLarge;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_SSE_PARSER_H_
