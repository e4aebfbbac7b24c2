#ifndef MARJORAMSILL_COMMANDS_FAKE_TEXT_H_
#define MARJORAMSILL_COMMANDS_FAKE_TEXT_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marjoramsill {

/// Hash of the messages of a chat completion request. The fake endpoint derives
/// the words of its completion from it, and the load command verifies them to
/// detect mixed-up, duplicated or truncated responses.
std::uint64_t FakePromptHash(const nlohmann::json& messages);

/// The word at `position` in the completion of a prompt, counted from 0.
std::string FakeWord(std::uint64_t prompt_hash, std::uint32_t position);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_FAKE_TEXT_H_
