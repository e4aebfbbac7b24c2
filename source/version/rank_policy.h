#ifndef MARJORAMSILL_VERSION_RANK_POLICY_H_
#define MARJORAMSILL_VERSION_RANK_POLICY_H_

#include <array>
#include <chrono>

#include "types/rank.h"

namespace marjoramsill {

/// Policy of one rank. The defaults apply until `ranks/fleet` is accepted.
struct rank_policy {
  std::chrono::microseconds first_token_target = std::chrono::seconds(2);
  std::chrono::microseconds between_tokens_target =
      std::chrono::milliseconds(100);
  std::chrono::microseconds default_deadline = std::chrono::seconds(30);
  std::chrono::microseconds maximum_deadline = std::chrono::seconds(120);
  /// Share of capacity, 0 to 1, that is reserved for the rank when other ranks
  /// overload the fleet.
  double kept_share = 0;
  /// Service-level objective: share of requests, 0 to 1, within the targets.
  double objective = 0.99;

  friend bool operator==(const rank_policy&, const rank_policy&) = default;
};

using rank_policies = std::array<rank_policy, kRankCount>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_RANK_POLICY_H_
