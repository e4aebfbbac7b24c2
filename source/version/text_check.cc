#include "version/text_check.h"

#include <cstdint>

namespace marjoramsill {
namespace {

// Length in bytes of the first UTF-8 sequence; 0 if it is malformed or not
// allowed.
std::size_t SequenceLength(std::string_view rest) {
  const auto lead = static_cast<std::uint8_t>(rest[0]);
  std::size_t length = 0;
  std::uint32_t code = 0;
  std::uint32_t smallest = 0;
  if (lead < 0x80) return 1;
  if ((lead & 0xE0) == 0xC0) {
    length = 2, code = lead & 0x1F, smallest = 0x80;
  } else if ((lead & 0xF0) == 0xE0) {
    length = 3, code = lead & 0x0F, smallest = 0x800;
  } else if ((lead & 0xF8) == 0xF0) {
    length = 4, code = lead & 0x07, smallest = 0x10000;
  } else {
    return 0;
  }
  if (rest.size() < length) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    const auto byte = static_cast<std::uint8_t>(rest[i]);
    if ((byte & 0xC0) != 0x80) return 0;
    code = code << 6 | (byte & 0x3F);
  }
  const bool surrogate = code >= 0xD800 && code <= 0xDFFF;
  const bool byte_order_mark = code == 0xFEFF;
  return code < smallest || code > 0x10FFFF || surrogate || byte_order_mark
             ? 0
             : length;
}

bool IsControl(char c) {
  const auto byte = static_cast<std::uint8_t>(c);
  return (byte < 0x20 && c != '\t' && c != '\n' && c != '\r') || byte == 0x7F;
}

}  // namespace

std::optional<std::size_t> FirstInvalidByte(std::string_view bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    if (IsControl(bytes[at])) return at;
    const std::size_t length = SequenceLength(bytes.substr(at));
    if (length == 0) return at;
    at += length;
  }
  return std::nullopt;
}

std::string_view CutText(std::string_view text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) return text;
  const auto continues = [&](std::size_t at) {
    return (static_cast<std::uint8_t>(text[at]) & 0xC0) == 0x80;
  };
  while (max_bytes > 0 && continues(max_bytes)) --max_bytes;
  return text.substr(0, max_bytes);
}

}  // namespace marjoramsill
