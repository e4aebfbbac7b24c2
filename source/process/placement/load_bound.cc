#include "process/placement/load_bound.h"

#include <algorithm>

#include "process/placement/placement_settings.h"

namespace marjoramsill {
namespace {

/// Share of the bound above which places are scarce.
constexpr double kScarceShare = 0.5;

}  // namespace

load_bound::load_bound(const placement_settings& settings, double pool_mean,
                       double expected_mean, const fleet_position& position)
    : pool_mean_(pool_mean),
      usual_(settings.load_cap * pool_mean + settings.load_allowance),
      most_(settings.bound_factor * expected_mean + settings.bound_allowance),
      position_(position) {}

bool load_bound::IsScarce(double mean_of_candidates) const {
  return mean_of_candidates > kScarceShare * most_;
}

std::uint32_t load_bound::OwnPlaces(std::uint64_t order) const {
  return PartOf(static_cast<std::uint32_t>(most_), order, position_);
}

std::uint32_t load_bound::PartOf(std::uint32_t places, std::uint64_t order,
                                 const fleet_position& position) {
  const std::uint32_t count = std::max(position.entry_count, 1U);
  const bool has_one_more =
      (position.entry_index + order) % count < places % count;
  return places / count + (has_one_more ? 1 : 0);
}

}  // namespace marjoramsill
