#ifndef MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_PREFIX_CACHE_H_
#define MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace marjoramsill {

/// LRU prefix cache of limited size. An entry holds the number of prompt words
/// that were processed for a chat.
class fake_prefix_cache {
 public:
  explicit fake_prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the number of cached words of the prompt and caches all of them.
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

#endif  // MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_PREFIX_CACHE_H_
