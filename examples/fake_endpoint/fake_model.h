#ifndef MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_
#define MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marjoramsill {

/// The completion that a fake engine generates. Its words depend only on the
/// messages of the request, so that a caller can verify its response.
struct fake_completion {
  std::uint64_t prompt_hash = 0;
  std::uint32_t first_word = 0;
  std::uint32_t words = 0;
  std::uint32_t prompt_words = 0;
};

/// Plans the completion of a chat completion request. With
/// continue_final_message, the completion continues the last message.
fake_completion PlanCompletion(const nlohmann::json& request);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_
