#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PREFIX_CACHE_MODEL_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PREFIX_CACHE_MODEL_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "process/placement/prompt_part.h"
#include "types/units.h"

namespace marjoramsill {

/// Estimates which prompt prefixes an endpoint has cached, from the requests
/// that this process has sent to it. Evicts the least recently used prefix
/// first, as the endpoint does.
class prefix_cache_model {
 public:
  /// `capacity`: tokens that the endpoint can cache.
  explicit prefix_cache_model(token_count capacity);

  /// Tokens at the start of a prompt that the endpoint has cached.
  token_count CachedTokens(const std::vector<prompt_part>& parts) const;
  /// A request with this prompt was sent to the endpoint.
  void Record(const std::vector<prompt_part>& parts);
  void SetCapacity(token_count capacity);
  /// The endpoint's cache is empty, for example after a restart.
  void Clear();

 private:
  struct cached_prefix {
    std::uint64_t hash = 0;
    token_count tokens;
  };
  using use_order = std::list<cached_prefix>;
  void EvictToCapacity();
  /// Inserts a prefix or marks it as the most recently used one.
  void Touch(std::uint64_t hash, token_count tokens);

  token_count capacity_;
  std::uint64_t cached_tokens_ = 0;
  /// Most recently used first.
  use_order order_;
  std::unordered_map<std::uint64_t, use_order::iterator> entries_;
};

/// Hash of a prompt prefix. `previous`: hash of all parts before the last one,
/// 0 if there are none; `part`: hash of the last part.
std::uint64_t ChainHash(std::uint64_t previous, std::uint64_t part);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PREFIX_CACHE_MODEL_H_
