#include "process/placement/session_detector.h"

#include <algorithm>

#include "process/placement/prefix_cache_model.h"

namespace marjoramsill {
namespace {

/// Number of recorded prompts. A session whose prompt was evicted counts as a
/// new one.
constexpr std::size_t kMaxPrompts = 8'192;
/// Weight of one request in the share of repeated prompts.
constexpr double kRepeatGain = 0.02;
/// Above this share of repeated prompts the last part of a prompt is taken to
/// identify a session.
constexpr double kMinSessionShare = 0.25;

}  // namespace

std::uint64_t PrefixHash(const std::vector<prompt_part>& parts,
                         std::size_t count) {
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i < std::min(count, parts.size()); ++i) {
    chain = ChainHash(chain, parts[i].hash);
  }
  return chain;
}

session_detector::session_detector() : repeat_share_(kRepeatGain) {}

std::size_t session_detector::SharedParts(
    const std::vector<prompt_part>& parts) const {
  if (parts.size() < 2 || repeat_share_.value() > kMinSessionShare) {
    return parts.size();
  }
  const bool is_repeated = seen_.contains(PrefixHash(parts, parts.size()));
  return is_repeated ? parts.size() : parts.size() - 1;
}

void session_detector::Record(const std::vector<prompt_part>& parts) {
  if (parts.empty()) return;
  const std::uint64_t chain = PrefixHash(parts, parts.size());
  const bool is_new = seen_.insert(chain).second;
  repeat_share_.Add(is_new ? 0 : 1);
  if (!is_new) return;
  order_.push_back(chain);
  if (order_.size() <= kMaxPrompts) return;
  seen_.erase(order_.front());
  order_.pop_front();
}

}  // namespace marjoramsill
