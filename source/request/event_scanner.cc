#include "request/event_scanner.h"

#include <utility>

namespace marjoramsill {
namespace {

constexpr std::string_view kDataField = "data";

}  // namespace

std::size_t event_scanner::Read(std::string_view bytes) {
  std::size_t end = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    ReadByte(bytes[i]);
    if (is_between_events()) end = i + 1;
  }
  return end;
}

void event_scanner::ReadByte(char byte) {
  if (std::exchange(after_cr_, byte == '\r') && byte == '\n') return;
  if (byte == '\r' || byte == '\n') {
    EndLine();
    return;
  }
  if (is_line_empty_) is_comment_ = byte == ':';
  is_line_empty_ = false;
  if (byte == ':') in_name_ = false;
  if (in_name_ && name_.size() <= kDataField.size()) name_ += byte;
}

void event_scanner::EndLine() {
  if (is_line_empty_) {
    event_count_ += has_data_ ? 1 : 0;
    has_field_ = false;
    has_data_ = false;
  } else if (!is_comment_) {
    has_field_ = true;
    has_data_ = has_data_ || name_ == kDataField;
  }
  name_.clear();
  in_name_ = true;
  is_line_empty_ = true;
  is_comment_ = false;
}

bool event_scanner::is_between_events() const {
  return is_line_empty_ && !has_field_;
}

void event_scanner::DropRest() {
  const std::uint64_t event_count = event_count_;
  *this = event_scanner();
  event_count_ = event_count;
}

}  // namespace marjoramsill
