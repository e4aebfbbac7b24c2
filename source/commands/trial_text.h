#ifndef MARJORAMSILL_COMMANDS_TRIAL_TEXT_H_
#define MARJORAMSILL_COMMANDS_TRIAL_TEXT_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marjoramsill {

/// Hash of the messages of a chat completion request. The fake endpoint derives
/// its words from it and the load command checks them, so that a crossed,
/// doubled or truncated answer is noticed.
std::uint64_t TrialPromptHash(const nlohmann::json& messages);

/// The word at a position of the completion of a prompt.
std::string TrialWord(std::uint64_t prompt_hash, std::uint32_t position);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_TRIAL_TEXT_H_
