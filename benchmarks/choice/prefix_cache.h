#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_PREFIX_CACHE_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>

namespace marjoramsill {

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

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_PREFIX_CACHE_H_
