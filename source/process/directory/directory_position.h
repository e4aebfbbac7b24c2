#ifndef MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_POSITION_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_POSITION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramsill {

/// A change of a control process's endpoint directory.
struct directory_position {
  /// Start of the process, see watch_hub.
  std::uint64_t epoch = 0;
  /// Number of the change since that start.
  std::uint64_t change = 0;

  /// True if the directory at this position has the changes up to `other`.
  bool Includes(const directory_position& other) const {
    return epoch == other.epoch && change >= other.change;
  }
};

/// As text, "EPOCH CHANGE". Decoding returns nothing for other text.
std::string EncodeDirectoryPosition(const directory_position& position);
std::optional<directory_position> DecodeDirectoryPosition(
    std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_POSITION_H_
