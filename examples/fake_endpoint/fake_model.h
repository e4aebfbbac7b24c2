#ifndef MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_
#define MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marjoramsill {

/// A completion that a fake engine gives for a request: the words depend on
/// the messages only, so that a caller can tell its own answer from others.
struct fake_completion {
  std::uint64_t prompt_hash = 0;
  std::uint32_t first_word = 0;
  std::uint32_t words = 0;
  std::uint32_t prompt_words = 0;
};

/// Reads a chat completion request. A final assistant message together with
/// continue_final_message is text that the completion continues.
fake_completion PlanCompletion(const nlohmann::json& request);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_
