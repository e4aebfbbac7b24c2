#include "process/choice/endpoint_chooser.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marjoramsill {
namespace {

/// Ring points read before the members are scanned in turn.
constexpr std::uint32_t kMostSteps = 64;
/// Endpoints in the order of a key whose costs are compared.
constexpr std::uint32_t kRanks = 3;
constexpr std::size_t kMostRanks = 16;
/// Members of a ring that are looked at for room. When none of so many has
/// room, the failure domain counts as full, so that a choice reads few entries
/// under overload too.
constexpr std::size_t kSampled = 16;
constexpr std::size_t kCounts = 1024;
/// Counts of keys fall by half in this time.
constexpr std::chrono::seconds kHalfLife{10};
/// Requests that this VM must have seen before a key can be hot.
constexpr float kFewestSent = 32;

std::uint32_t TagOf(std::uint64_t key) {
  return static_cast<std::uint32_t>(key >> 32) | 1U;
}

}  // namespace

endpoint_chooser::endpoint_chooser(endpoint_chooser_settings settings,
                                   std::shared_ptr<const placement> table)
    : settings_(std::move(settings)),
      loads_(settings_.load),
      hints_(settings_.hints),
      counts_(kCounts) {
  SetPlacement(std::move(table));
}

void endpoint_chooser::SetPlacement(std::shared_ptr<const placement> table) {
  for (cache_hint& hint : hints_) {
    if (hint.tag == 0) continue;
    const auto& id = table_->endpoints()[hint.index].id;
    const auto index = table->IndexOf(id);
    hint = index.has_value() ? cache_hint{hint.tag, *index} : cache_hint{};
  }
  loads_.Assign(table_.get(), *table);
  table_ = std::move(table);
  own_ring_ = table_->RingOf(settings_.own_domain);
}

void endpoint_chooser::SetCondition(endpoint_index index,
                                    const endpoint_condition& condition) {
  loads_.SetCondition(index, condition);
}

void endpoint_chooser::OnReport(endpoint_index index, std::uint32_t requests,
                                steady_time as_of) {
  loads_.OnReport(index, requests, as_of);
}

void endpoint_chooser::Tick(steady_time now) {
  loads_.Tick(now);
  if (last_decay_ == steady_time::min()) last_decay_ = now;
  if (now - last_decay_ < kHalfLife) return;
  last_decay_ = now;
  sent_ /= 2;
  for (key_count& known : counts_) known.count /= 2;
}

bool endpoint_chooser::IsUsable(search& found, endpoint_index index) const {
  ++found.examined;
  const auto& excluded = found.request.excluded;
  if (std::find(excluded.begin(), excluded.end(), index) != excluded.end()) {
    return false;
  }
  if (table_->endpoints()[index].draining || !loads_.IsAdmitted(index)) {
    return false;
  }
  if (!found.first.has_value()) found.first = index;
  if (!loads_.IsFresh(index, found.now)) {
    if (!found.probe.has_value()) found.probe = index;
    return false;
  }
  found.any_fresh = true;
  return true;
}

bool endpoint_chooser::IsWithin(search& found, endpoint_index index,
                                bool safely) const {
  const std::uint32_t bound =
      safely ? loads_.SafeBound(index, found.now) : loads_.Bound(index);
  return loads_.Expected(index, found.now) <= bound;
}

// Seconds until the first token: computing the prompt where no cache holds
// it, and waiting for the requests above the safe bound to end.
double endpoint_chooser::CostOf(const search& found, endpoint_index index,
                                std::uint32_t rank) const {
  const double recompute =
      rank < found.homes
          ? 0
          : static_cast<double>(found.request.prefix_tokens.value()) /
                table_->endpoints()[index].prefill_rate;
  const double expected = loads_.Expected(index, found.now);
  const double over =
      std::max(0.0, expected - loads_.SafeBound(index, found.now));
  // Among equal homes of a hot key the less loaded one is taken.
  const double relative = 0.01 * expected / table_->endpoints()[index].capacity;
  return recompute + over * loads_.SecondsPerRequest(index) + relative;
}

// The first endpoints in the order of the key; overflow goes to the next one
// on the ring, which is the same one on every VM.
std::optional<endpoint_index> endpoint_chooser::Cheapest(
    search& found, const placement::domain_ring& ring, bool safely) const {
  const std::size_t count = ring.points.size();
  auto at = static_cast<std::size_t>(std::lower_bound(ring.points.begin(),
                                                      ring.points.end(),
                                                      found.request.key) -
                                     ring.points.begin());
  std::array<endpoint_index, kMostRanks> seen{};
  std::uint32_t ranks = 0;
  std::optional<endpoint_index> best;
  double least = 0;
  const std::uint32_t wanted = std::max(kRanks, found.homes);
  for (std::uint32_t step = 0; step < kMostSteps && step < count; ++step) {
    if (at >= count) at = 0;
    const endpoint_index index = ring.owners[at++];
    if (std::find(seen.begin(), seen.begin() + ranks, index) !=
        seen.begin() + ranks) {
      continue;
    }
    if (!IsUsable(found, index)) continue;
    seen.at(ranks) = index;
    const std::uint32_t rank = ranks++;
    if (IsWithin(found, index, safely)) {
      const double cost = CostOf(found, index, rank);
      if (!best.has_value() || cost < least) {
        best = index;
        least = cost;
      }
    }
    if (ranks >= wanted) break;
  }
  return best;
}

std::optional<endpoint_index> endpoint_chooser::Scan(
    search& found, const placement::domain_ring& ring, bool safely,
    std::size_t most) const {
  const std::size_t count = ring.members.size();
  std::size_t at = found.request.key % count;
  for (std::size_t i = 0; i < count && i < most; ++i) {
    const endpoint_index index = ring.members[at];
    if (IsUsable(found, index) && IsWithin(found, index, safely)) return index;
    if (++at == count) at = 0;
  }
  return std::nullopt;
}

std::optional<endpoint_index> endpoint_chooser::Hinted(search& found) const {
  const cache_hint& hint = hints_[found.request.key % hints_.size()];
  if (hint.tag != TagOf(found.request.key)) return std::nullopt;
  const placement_endpoint& endpoint = table_->endpoints()[hint.index];
  if (endpoint.domain != settings_.own_domain) return std::nullopt;
  // Judged apart: a hint says nothing about the order of the key.
  search apart = found;
  const bool taken =
      IsUsable(apart, hint.index) && IsWithin(apart, hint.index, true);
  ++found.examined;
  return taken ? std::optional(hint.index) : std::nullopt;
}

std::uint32_t endpoint_chooser::HomesOf(std::uint64_t key) const {
  const key_count& known = counts_[key % kCounts];
  if (known.tag != TagOf(key) || sent_ < kFewestSent) return 1;
  const double endpoints = static_cast<double>(
      own_ring_.has_value() ? table_->rings()[*own_ring_].members.size()
                            : table_->endpoints().size());
  const double homes = known.count / sent_ * endpoints / settings_.hot_share;
  return static_cast<std::uint32_t>(std::clamp(
      homes, 1.0, std::min<double>(settings_.most_homes, kMostRanks)));
}

// Empty when every endpoint of the own failure domain is at its safe bound.
// Above it the VMs' views no longer keep the real load within the bound.
std::optional<endpoint_index> endpoint_chooser::InOwnDomain(
    search& found) const {
  if (!own_ring_.has_value()) return std::nullopt;
  const auto& ring = table_->rings()[*own_ring_];
  const auto cheapest = Cheapest(found, ring, false);
  if (cheapest.has_value() && IsWithin(found, *cheapest, true)) {
    return cheapest;
  }
  const auto other = Scan(found, ring, true, kSampled);
  return cheapest.has_value() && other.has_value() ? cheapest : other;
}

std::optional<endpoint_index> endpoint_chooser::InOtherDomains(
    search& found, bool safely) const {
  const auto& rings = table_->rings();
  // Each key has its own order, so that overflow spreads.
  for (std::size_t i = 0; i < rings.size(); ++i) {
    const std::size_t at = (found.request.key + i) % rings.size();
    if (at == own_ring_) continue;
    auto chosen = Cheapest(found, rings[at], safely);
    if (!chosen.has_value()) {
      chosen = Scan(found, rings[at], safely,
                    safely ? kSampled : rings[at].members.size());
    }
    if (chosen.has_value()) return chosen;
  }
  return std::nullopt;
}

result<endpoint_choice, choice_failure> endpoint_chooser::Choose(
    const choice_request& request, steady_time now) {
  search found{request, now,          HomesOf(request.key), 0,
               false,   std::nullopt, std::nullopt};
  std::optional<endpoint_index> chosen;
  if (found.homes == 1) chosen = Hinted(found);
  if (!chosen.has_value()) chosen = InOwnDomain(found);
  if (!chosen.has_value()) chosen = InOtherDomains(found, true);
  if (!chosen.has_value() && own_ring_.has_value()) {
    const auto& ring = table_->rings()[*own_ring_];
    chosen = Scan(found, ring, false, ring.members.size());
  }
  if (!chosen.has_value()) chosen = InOtherDomains(found, false);
  if (chosen.has_value()) {
    return endpoint_choice{*chosen, found.examined, found.first == chosen,
                           found.probe};
  }
  choice_failure none;
  none.probe = found.probe;
  if (found.any_fresh) {
    none.why = no_choice::kAllOverBound;
  } else if (found.probe.has_value()) {
    none.why = no_choice::kNoFreshEvidence;
  }
  return failure(none);
}

void endpoint_chooser::OnSent(std::uint64_t key, endpoint_index index,
                              steady_time now) {
  loads_.OnSent(index, now);
  sent_ += 1;
  key_count& known = counts_[key % kCounts];
  // Space-saving counting: a new key takes over a slot when the old one's
  // count has worn off.
  if (known.tag == TagOf(key)) {
    known.count += 1;
  } else if (known.count < 1) {
    known = {TagOf(key), 1};
  } else {
    known.count -= 1;
  }
}

void endpoint_chooser::OnFinished(endpoint_index index, steady_time now) {
  loads_.OnFinished(index, now);
}

void endpoint_chooser::OnCacheHint(std::uint64_t key, endpoint_index index,
                                   bool holds) {
  cache_hint& hint = hints_[key % hints_.size()];
  if (holds) {
    hint = {TagOf(key), index};
  } else if (hint.tag == TagOf(key) && hint.index == index) {
    hint = {};
  }
}

}  // namespace marjoramsill
