#ifndef MARJORAMSILL_COMMANDS_FILE_TEXT_H_
#define MARJORAMSILL_COMMANDS_FILE_TEXT_H_

#include <optional>
#include <string>

namespace marjoramsill {

/// The content of a file, or nothing when it cannot be read.
std::optional<std::string> ReadFileText(const std::string& path);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_FILE_TEXT_H_
