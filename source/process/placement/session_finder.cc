#include "process/placement/session_finder.h"

#include <algorithm>

#include "process/placement/prefix_memory.h"

namespace marjoramsill {
namespace {

/// Prompts that are remembered. Sessions that return later count as new.
constexpr std::size_t kMostPrompts = 8'192;
/// Weight of one request in the share of repeated prompts.
constexpr double kRepeatGain = 0.02;
/// Above this share of repeated prompts the last parts belong to sessions.
constexpr double kSessionShare = 0.25;

}  // namespace

std::uint64_t ChainOf(const std::vector<prompt_part>& parts,
                      std::size_t count) {
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i < std::min(count, parts.size()); ++i) {
    chain = ChainHash(chain, parts[i].hash);
  }
  return chain;
}

session_finder::session_finder() : repeats_(kRepeatGain) {}

std::size_t session_finder::SharedParts(
    const std::vector<prompt_part>& parts) const {
  if (parts.size() < 2 || repeats_.value() > kSessionShare) {
    return parts.size();
  }
  const bool returns = seen_.contains(ChainOf(parts, parts.size()));
  return returns ? parts.size() : parts.size() - 1;
}

void session_finder::Note(const std::vector<prompt_part>& parts) {
  if (parts.empty()) return;
  const std::uint64_t chain = ChainOf(parts, parts.size());
  const bool is_new = seen_.insert(chain).second;
  repeats_.Add(is_new ? 0 : 1);
  if (!is_new) return;
  order_.push_back(chain);
  if (order_.size() <= kMostPrompts) return;
  seen_.erase(order_.front());
  order_.pop_front();
}

}  // namespace marjoramsill
