#include "process/admission/rank_shares.h"

#include <algorithm>

namespace marjoramsill {
namespace {

constexpr std::size_t Index(rank of) { return static_cast<std::size_t>(of); }

}  // namespace

void rank_shares::SetShares(const admission_policy& policy) {
  for (std::size_t i = Index(rank::kStandard); i < kRankCount; ++i) {
    share_.at(i) = std::clamp(policy.ranks.at(i).share, 0.0, 1.0);
  }
}

double rank_shares::share(rank of) const { return share_.at(Index(of)); }

std::optional<rank_shares::choice> rank_shares::Choose(
    const flags& backlogged) const {
  std::size_t first = 0;
  while (first < kRankCount && !backlogged.at(first)) ++first;
  if (first == kRankCount) return std::nullopt;
  std::size_t best = first;
  for (std::size_t i = first + 1; i < kRankCount; ++i) {
    if (!backlogged.at(i) || share_.at(i) <= 0 || credit_.at(i) < 0) continue;
    if (best == first || credit_.at(i) > credit_.at(best)) best = i;
  }
  return choice{.rank = static_cast<rank>(best), .kept = best != first};
}

void rank_shares::Admitted(const choice& of, double cost,
                           const flags& backlogged) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    double& credit = credit_.at(i);
    credit += share_.at(i) * cost;
    // Credit above 0 is for waiting work only: a rank without any must not
    // save up a burst.
    if (!backlogged.at(i)) credit = std::min(credit, 0.0);
  }
  double& own = credit_.at(Index(of.rank));
  if (of.kept) {
    own -= cost;
  } else if (own > 0) {
    // Capacity that no more urgent rank wanted uses up credit, but leaves no
    // debt: a rank that filled idle capacity is not starved afterwards.
    own = std::max(0.0, own - cost);
  }
}

void rank_shares::Corrected(const choice& of, double difference,
                            const flags& backlogged) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    if (!backlogged.at(i)) continue;
    credit_.at(i) += share_.at(i) * difference;
  }
  if (!of.kept) return;
  double& own = credit_.at(Index(of.rank));
  own = std::min(own - difference, std::max(own, 0.0));
}

}  // namespace marjoramsill
