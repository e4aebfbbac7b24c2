#include "prefix_cache.h"

namespace marjoramsill {

void prefix_cache::Store(std::uint64_t key, std::uint32_t tokens) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    used_ -= found->second->tokens;
    order_.erase(found->second);
    entries_.erase(found);
  }
  order_.push_front({key, tokens});
  entries_[key] = order_.begin();
  used_ += tokens;
  while (used_ > capacity_ && order_.size() > 1) {
    used_ -= order_.back().tokens;
    entries_.erase(order_.back().key);
    order_.pop_back();
  }
}

void prefix_cache::Clear() {
  used_ = 0;
  order_.clear();
  entries_.clear();
}

}  // namespace marjoramsill
