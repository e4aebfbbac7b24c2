#include "process/placement/prefix_cache_model.h"

#include <xxhash.h>

#include <array>

namespace marjoramsill {

std::uint64_t ChainHash(std::uint64_t previous, std::uint64_t part) {
  const std::array<std::uint64_t, 2> pair{previous, part};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

prefix_cache_model::prefix_cache_model(token_count capacity)
    : capacity_(capacity) {}

token_count prefix_cache_model::CachedTokens(
    const std::vector<prompt_part>& parts) const {
  std::uint64_t chain = 0;
  std::uint64_t tokens = 0;
  for (const prompt_part& part : parts) {
    chain = ChainHash(chain, part.hash);
    if (entries_.find(chain) == entries_.end()) break;
    tokens += part.tokens.value();
  }
  return token_count(tokens);
}

void prefix_cache_model::Record(const std::vector<prompt_part>& parts) {
  std::uint64_t chain = 0;
  for (const prompt_part& part : parts) {
    chain = ChainHash(chain, part.hash);
    Touch(chain, part.tokens);
  }
  EvictToCapacity();
}

void prefix_cache_model::SetCapacity(token_count capacity) {
  capacity_ = capacity;
  EvictToCapacity();
}

void prefix_cache_model::EvictToCapacity() {
  while (cached_tokens_ > capacity_.value() && !order_.empty()) {
    cached_tokens_ -= order_.back().tokens.value();
    entries_.erase(order_.back().hash);
    order_.pop_back();
  }
}

void prefix_cache_model::Touch(std::uint64_t hash, token_count tokens) {
  const auto found = entries_.find(hash);
  if (found != entries_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  order_.push_front({hash, tokens});
  entries_[hash] = order_.begin();
  cached_tokens_ += tokens.value();
}

void prefix_cache_model::Clear() {
  order_.clear();
  entries_.clear();
  cached_tokens_ = 0;
}

}  // namespace marjoramsill
