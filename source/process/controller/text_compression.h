#ifndef MARJORAMSILL_PROCESS_CONTROLLER_TEXT_COMPRESSION_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_TEXT_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramsill {

/// Compresses text with zstd.
std::string PackText(std::string_view text);
/// Nothing if the bytes are damaged or the text is longer than `max_bytes`.
std::optional<std::string> UnpackText(std::string_view packed,
                                      std::size_t max_bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_TEXT_COMPRESSION_H_
