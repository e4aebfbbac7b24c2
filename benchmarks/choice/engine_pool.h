#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_ENGINE_POOL_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_ENGINE_POOL_H_

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "process/choice/placement.h"

namespace marjoramsill {

/// A prompt: a prefix that all chats of a workspace share, then the chat.
struct engine_request {
  std::uint64_t chat = 0;
  std::uint64_t workspace = 0;
  std::uint32_t workspace_tokens = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t router = 0;
  std::uint64_t serial = 0;
  double arrived = 0;
};

/// A prefix cache of limited size that evicts the least recently used entry.
class prefix_cache {
 public:
  explicit prefix_cache(std::uint64_t capacity) : capacity_(capacity) {}

  std::uint32_t Find(std::uint64_t key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? 0 : found->second->tokens;
  }
  void Store(std::uint64_t key, std::uint32_t tokens);
  void Clear();

 private:
  struct item {
    std::uint64_t key;
    std::uint32_t tokens;
  };
  std::uint64_t capacity_;
  std::uint64_t used_ = 0;
  std::list<item> order_;
  std::unordered_map<std::uint64_t, std::list<item>::iterator> entries_;
};

/// A fake engine with continuous batching: up to `slots` requests run at once,
/// the others wait in order of arrival.
struct fake_engine {
  static constexpr double kDecodeSeconds = 0.034;
  static constexpr std::uint64_t kCacheTokens = 1500000;

  std::uint32_t slots = 48;
  double prefill_rate = 8000;
  bool up = true;
  std::uint32_t running = 0;
  std::deque<engine_request> waiting;
  prefix_cache cache{kCacheTokens};

  std::uint32_t load() const {
    return running + static_cast<std::uint32_t>(waiting.size());
  }
  std::uint32_t Cached(const engine_request& request) const;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_ENGINE_POOL_H_
