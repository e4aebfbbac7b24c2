#include "commands/fake_text.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace marjoramsill {

std::uint64_t FakePromptHash(const nlohmann::json& messages) {
  const std::string prompt = messages.dump();
  return XXH3_64bits(prompt.data(), prompt.size());
}

std::string FakeWord(std::uint64_t prompt_hash, std::uint32_t position) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(&position, sizeof(position), prompt_hash);
  constexpr std::uint64_t kWords = 100'000;
  return "w" + std::to_string(hash % kWords) + " ";
}

}  // namespace marjoramsill
