#ifndef MARJORAMSILL_VERSION_TEXT_CHECK_H_
#define MARJORAMSILL_VERSION_TEXT_CHECK_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoramsill {

/// Offset of the first byte that is not allowed in UTF-8 text: a malformed
/// sequence, a control character other than tab, line feed and carriage return,
/// or a byte order mark.
std::optional<std::size_t> FirstInvalidByte(std::string_view bytes);

/// The longest prefix of a text that has at most `max_bytes` and does not end
/// in the middle of a UTF-8 sequence.
std::string_view CutText(std::string_view text, std::size_t max_bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_TEXT_CHECK_H_
