#ifndef MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_
#define MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_

#include <cstdint>
#include <list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>

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

/// Prefix cache of limited size, least recently used first out. One entry is
/// the number of prompt words that were computed for a chat.
class fake_prefix_cache {
 public:
  explicit fake_prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the cached prefix of the chat and stores the new one.
  std::uint32_t Use(const std::string& chat, std::uint32_t prompt_words);

 private:
  struct entry {
    std::string chat;
    std::uint32_t words;
  };

  std::size_t capacity_;
  std::list<entry> order_;
  std::unordered_map<std::string, std::list<entry>::iterator> entries_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_MODEL_H_
