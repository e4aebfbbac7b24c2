#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "process/placement/endpoint_pool.h"

// The endpoints that are preferred for a prompt prefix.

namespace marjoramsill {
namespace {

/// Least remaining capacity, in requests, that a preferred endpoint counts
/// with. One above the load bound still gets a few requests, since their
/// responses carry its load reports.
constexpr double kMinRemainingCapacity = 0.01;
/// Ratio of durations above which the first preferred endpoint of an idle pool
/// shares its prefixes with the second one.
constexpr double kClearlySlower = 1.5;
/// Precision of a double in bits, for a uniform random number below 1.
constexpr int kDoubleBits = 53;
constexpr int kDoubleShift = 64 - kDoubleBits;

/// Limits of the preference for an endpoint that limits its request rate.
constexpr double kMinWeight = 0.05;
constexpr double kMaxWeight = 20;

/// Rendezvous hash: all entry VMs rank the endpoints for a prefix alike.
std::uint64_t PreferenceScore(const endpoint_record& record,
                              std::uint64_t prefix_hash) {
  const std::string& id = record.id.value();
  return XXH3_64bits_withSeed(id.data(), id.size(), prefix_hash);
}

/// The same order for equal weights; otherwise an endpoint is first for a share
/// of the prefixes in proportion to its weight.
double WeightedScore(std::uint64_t score, double weight) {
  const double uniform = (static_cast<double>(score >> kDoubleShift) + 0.5) *
                         std::ldexp(1, -kDoubleBits);
  return weight / -std::log(uniform);
}

}  // namespace

double endpoint_pool::PreferenceWeight(const endpoint_estimate& endpoint,
                                       bool is_cold, steady_time now) const {
  auto own_rate = endpoint.terms().limit().OwnRate(position_, now);
  double most = kMaxWeight;
  if (is_cold) {
    const double part = ColdPart(endpoint, now);
    own_rate = std::min(own_rate.value_or(part), part);
    most = std::min(most, warm_up_limit_->MaxWeight());
  }
  if (!own_rate) return 1;
  const double usual = UsualRate(now);
  if (usual <= 0) return 1;
  return std::clamp(*own_rate / usual, kMinWeight, most);
}

const endpoint_estimate* endpoint_pool::FindPreferredExcept(
    std::uint64_t prefix_hash, const endpoint_estimate& except) const {
  const endpoint_estimate* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const bool is_leaving =
        endpoint->record().phase == endpoint_phase::kLeaving;
    if (!endpoint->IsOperating() && !is_leaving) continue;
    if (endpoint.get() == &except) continue;
    const std::uint64_t score =
        PreferenceScore(endpoint->record(), prefix_hash);
    if (best == nullptr || score > best_score) {
      best = endpoint.get();
      best_score = score;
    }
  }
  return best;
}

bool endpoint_pool::HasColdPreferred(std::uint64_t prefix_hash,
                                     double score) const {
  return std::any_of(cold_left_out_.begin(), cold_left_out_.end(),
                     [prefix_hash, score](const endpoint_estimate* each) {
                       const std::uint64_t own =
                           PreferenceScore(each->record(), prefix_hash);
                       return WeightedScore(own, 1) > score;
                     });
}

/// Load reports lag: if a loaded endpoint were always avoided, all entry VMs
/// would leave it at the same time and return at the same time. A random choice
/// between two, weighted by their remaining capacity, keeps both loads steady
/// and the prefix on two endpoints only.
const endpoint_estimate* endpoint_pool::PickPreferred(
    std::uint64_t prefix_hash, const std::vector<candidate>& candidates,
    double mean) const {
  std::array<std::pair<double, const candidate*>, 2> best{};
  for (const candidate& each : candidates) {
    const double score = WeightedScore(
        PreferenceScore(each.endpoint->record(), prefix_hash), each.weight);
    const std::pair<double, const candidate*> scored(score, &each);
    if (scored > best[0]) {
      best[1] = std::exchange(best[0], scored);
    } else if (scored > best[1]) {
      best[1] = scored;
    }
  }
  const auto [first, second] = std::pair(best[0].second, best[1].second);
  if (first == nullptr) return nullptr;
  if (second == nullptr) return first->endpoint;
  // A third endpoint would compute the prefix for the time of a warm-up only.
  if (HasColdPreferred(prefix_hash, best[1].first)) return first->endpoint;
  // In an idle pool a slow endpoint is no reason to compute a prefix twice
  // unless the other one is clearly faster.
  const bool is_slow =
      first->duration_factor > kClearlySlower * second->duration_factor;
  const bool is_idle = mean < 1;
  if (is_idle && !is_slow) return first->endpoint;
  const double bound =
      settings_.preferred_load_cap * mean + settings_.load_allowance;
  // The slower one of the two counts as loaded earlier.
  const double fastest =
      std::min(first->duration_factor, second->duration_factor);
  const auto remaining = [bound, fastest](const candidate& each) {
    const double share = fastest / each.duration_factor;
    return std::max(kMinRemainingCapacity, bound * share - each.load);
  };
  const double first_remaining = remaining(*first);
  const double second_remaining = remaining(*second);
  const double drawn = static_cast<double>(random_() >> kDoubleShift) *
                       std::ldexp(1, -kDoubleBits);
  const bool picks_first =
      drawn * (first_remaining + second_remaining) < first_remaining;
  return picks_first ? first->endpoint : second->endpoint;
}

/// Returns an endpoint to which this entry VM sent the prefix, if there is one.
/// Otherwise returns the preferred one among the others: it has the prefix if
/// the chosen endpoint is new, or if it was chosen although another one is
/// preferred.
const endpoint_estimate* endpoint_pool::FindCopySource(
    const request_demand& demand, const shared_prefix& shared,
    const endpoint_estimate& chosen, steady_time now) const {
  if (shared.tokens < settings_.min_fetch) return nullptr;
  if (chosen.prefixes().CachedTokens(demand.parts) >= shared.tokens) {
    return nullptr;
  }
  const endpoint_estimate* source =
      FindPreferredExcept(shared.prefix_hash, chosen);
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.get() == &chosen) continue;
    if (endpoint->record().phase == endpoint_phase::kEnded) continue;
    if (endpoint->IsAvoided(now)) continue;
    if (endpoint->prefixes().CachedTokens(demand.parts) >= shared.tokens) {
      source = endpoint.get();
    }
  }
  return source == nullptr || source->IsAvoided(now) ? nullptr : source;
}

endpoint_pool::shared_prefix endpoint_pool::FindSharedPrefix(
    const request_demand& demand, const std::vector<candidate>& candidates,
    double mean) const {
  shared_prefix shared;
  if (demand.parts.empty()) return shared;
  const std::size_t parts = sessions_.SharedParts(demand.parts);
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i < parts; ++i) {
    tokens += demand.parts[i].tokens.value();
  }
  shared.tokens = token_count(tokens);
  shared.prefix_hash = PrefixHash(demand.parts, parts);
  shared.preferred = PickPreferred(shared.prefix_hash, candidates, mean);
  return shared;
}

}  // namespace marjoramsill
