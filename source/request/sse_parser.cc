#include "request/sse_parser.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool IsKnownField(std::string_view name) {
  return name == "data" || name == "event" || name == "id" || name == "retry";
}

}  // namespace

sse_parser::sse_parser(std::size_t max_event_bytes)
    : max_event_bytes_(max_event_bytes) {}

result<void, sse_error> sse_parser::Feed(std::string_view bytes,
                                         std::vector<std::string>& events) {
  while (!bytes.empty() && !failed_) {
    if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = std::min(bytes.find_first_of("\r\n"), bytes.size());
    if (line_.size() + data_.size() + end > max_event_bytes_) {
      failed_ = true;
      error_ = sse_error::kEventTooLarge;
      break;
    }
    line_.append(bytes.substr(0, end));
    if (end == bytes.size()) break;
    after_cr_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    const auto handled = HandleLine(events);
    if (!handled) {
      failed_ = true;
      error_ = handled.error();
    }
  }
  if (failed_) return failure(error_);
  return success();
}

result<void, sse_error> sse_parser::HandleLine(
    std::vector<std::string>& events) {
  const std::string current = std::exchange(line_, std::string());
  const std::string_view line = current;
  if (line.empty()) {
    if (has_data_) events.push_back(std::exchange(data_, std::string()));
    has_data_ = false;
    return success();
  }
  if (std::any_of(line.begin(), line.end(), IsControl)) {
    return failure(sse_error::kControlCharacter);
  }
  if (line.front() == ':') return success();
  const std::size_t colon = std::min(line.find(':'), line.size());
  if (!IsKnownField(line.substr(0, colon))) {
    return failure(sse_error::kUnknownField);
  }
  if (line.compare(0, colon, "data") != 0) return success();
  std::size_t start = std::min(colon + 1, line.size());
  if (start < line.size() && line[start] == ' ') ++start;
  if (has_data_) data_.push_back('\n');
  data_.append(line.substr(start));
  has_data_ = true;
  return success();
}

}  // namespace marjoramsill
