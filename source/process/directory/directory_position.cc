#include "process/directory/directory_position.h"

#include <charconv>
#include <system_error>

namespace marjoramsill {

std::string EncodeDirectoryPosition(const directory_position& position) {
  return std::to_string(position.epoch) + " " + std::to_string(position.change);
}

std::optional<directory_position> DecodeDirectoryPosition(
    std::string_view text) {
  directory_position position;
  const char* end = text.data() + text.size();
  const auto epoch = std::from_chars(text.data(), end, position.epoch);
  if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != ' ') {
    return std::nullopt;
  }
  const auto change = std::from_chars(epoch.ptr + 1, end, position.change);
  if (change.ec != std::errc() || change.ptr != end) return std::nullopt;
  return position;
}

}  // namespace marjoramsill
