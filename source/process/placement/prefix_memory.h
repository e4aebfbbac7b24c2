#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PREFIX_MEMORY_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PREFIX_MEMORY_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "process/placement/prompt_part.h"
#include "types/units.h"

namespace marjoramsill {

/// Prompt prefixes that an endpoint is believed to keep, because this process
/// has sent it requests with them. The least recently used one yields first,
/// as on the endpoint.
class prefix_memory {
 public:
  explicit prefix_memory(token_count capacity);

  /// Tokens at the start of a prompt that need not be computed again.
  token_count CachedTokens(const std::vector<prompt_part>& parts) const;
  /// A request with this prompt was sent to the endpoint.
  void Note(const std::vector<prompt_part>& parts);
  void SetCapacity(token_count capacity);
  /// The endpoint has lost its memory.
  void Clear();

 private:
  struct kept_prefix {
    std::uint64_t hash = 0;
    token_count tokens;
  };
  using use_order = std::list<kept_prefix>;
  void DropOldest();
  void Touch(std::uint64_t hash, token_count tokens);

  token_count capacity_;
  std::uint64_t held_tokens_ = 0;
  /// Most recently used first.
  use_order order_;
  std::unordered_map<std::uint64_t, use_order::iterator> entries_;
};

/// Identifies a part together with all parts before it.
std::uint64_t ChainHash(std::uint64_t before, std::uint64_t part);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PREFIX_MEMORY_H_
