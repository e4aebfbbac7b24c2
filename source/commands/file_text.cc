#include "commands/file_text.h"

#include <fstream>
#include <sstream>

namespace marjoramsill {

std::optional<std::string> ReadFileText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) return std::nullopt;
  return text.str();
}

}  // namespace marjoramsill
