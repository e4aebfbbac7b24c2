#ifndef MARJORAMSILL_VERSION_WORKSPACE_POLICY_H_
#define MARJORAMSILL_VERSION_WORKSPACE_POLICY_H_

#include <cstdint>

#include "types/rank.h"

namespace marjoramsill {

/// Fleet-wide limits of one workspace. Has a fixed size, because a VM holds
/// 45,000 of them.
struct workspace_policy {
  /// Prompt and generated tokens per second.
  std::uint32_t tokens_per_second = 0;
  std::uint32_t concurrent_requests = 0;
  /// Weight in fair queueing within a rank.
  std::uint16_t weight = 1;
  /// Bit i is set if the workspace may use rank i.
  std::uint8_t allowed_ranks = 0b111;
  /// Number of the rank for requests without X-Rank.
  std::uint8_t default_rank_index = static_cast<std::uint8_t>(rank::kStandard);

  rank default_rank() const { return static_cast<rank>(default_rank_index); }
  bool Allows(rank value) const {
    return (allowed_ranks >> static_cast<unsigned>(value) & 1U) != 0;
  }

  friend bool operator==(const workspace_policy&,
                         const workspace_policy&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_WORKSPACE_POLICY_H_
