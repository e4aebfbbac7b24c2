#include "process/admission/rank_shares.h"

#include <algorithm>

namespace marjoramsill {
namespace {

constexpr std::size_t Index(rank value) {
  return static_cast<std::size_t>(value);
}

}  // namespace

void rank_shares::SetShares(const admission_policy& policy) {
  for (std::size_t i = Index(rank::kStandard); i < kRankCount; ++i) {
    share_.at(i) = std::clamp(policy.ranks.at(i).share, 0.0, 1.0);
  }
}

double rank_shares::share(rank queue_rank) const {
  return share_.at(Index(queue_rank));
}

std::optional<rank_shares::choice> rank_shares::Choose(
    const rank_flags& backlogged) const {
  std::size_t first = 0;
  while (first < kRankCount && !backlogged.at(first)) ++first;
  if (first == kRankCount) return std::nullopt;
  std::size_t best = first;
  for (std::size_t i = first + 1; i < kRankCount; ++i) {
    if (!backlogged.at(i) || share_.at(i) <= 0 || credit_.at(i) < 0) continue;
    if (best == first || credit_.at(i) > credit_.at(best)) best = i;
  }
  return choice{.rank = static_cast<rank>(best), .overtakes = best != first};
}

void rank_shares::OnAdmitted(const choice& chosen, double cost,
                             const rank_flags& backlogged) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    double& credit = credit_.at(i);
    credit += share_.at(i) * cost;
    // Only backlogged ranks accumulate positive credit, so that an idle rank
    // does not save up a burst.
    if (!backlogged.at(i)) credit = std::min(credit, 0.0);
  }
  double& own = credit_.at(Index(chosen.rank));
  if (chosen.overtakes) {
    own -= cost;
  } else if (own > 0) {
    // Capacity that no more urgent rank needed uses up credit but creates no
    // debt, so that a rank that filled idle capacity is not starved afterwards.
    own = std::max(0.0, own - cost);
  }
}

void rank_shares::OnCostCorrected(const choice& chosen, double difference,
                                  const rank_flags& backlogged) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    if (!backlogged.at(i)) continue;
    credit_.at(i) += share_.at(i) * difference;
  }
  if (!chosen.overtakes) return;
  double& own = credit_.at(Index(chosen.rank));
  own = std::min(own - difference, std::max(own, 0.0));
}

}  // namespace marjoramsill
