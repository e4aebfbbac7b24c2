#ifndef MARJORAMSILL_VERSION_TEXT_CHECK_H_
#define MARJORAMSILL_VERSION_TEXT_CHECK_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoramsill {

/// Offset of the first byte that is not UTF-8 text: a malformed sequence, a
/// control character other than tab, line feed and carriage return, or a byte
/// order mark.
std::optional<std::size_t> FirstInvalidByte(std::string_view bytes);

/// The front of a text, at most `most_bytes` long, without a part of a UTF-8
/// sequence at its end.
std::string_view CutText(std::string_view text, std::size_t most_bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_TEXT_CHECK_H_
