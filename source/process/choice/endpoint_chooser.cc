#include "process/choice/endpoint_chooser.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marjoramsill {
namespace {

/// Maximum number of ring points read before the members are scanned in order.
constexpr std::uint32_t kMaxRingSteps = 64;
/// Number of endpoints in a key's order whose costs are compared, unless a hot
/// key has more preferred endpoints.
constexpr std::uint32_t kMinCompared = 3;
constexpr std::size_t kMaxCompared = 16;
/// Maximum number of ring members checked for remaining capacity. If none of
/// them has any, the failure domain counts as full, so that a choice reads few
/// entries under overload too.
constexpr std::size_t kMaxSampledMembers = 16;
constexpr std::size_t kKeyCountSlots = 1024;
/// The request counts of keys are halved in this interval.
constexpr std::chrono::seconds kCountHalfLife{10};
/// Number of requests that this VM must have sent before a key can count as
/// hot.
constexpr float kMinSentForHotKey = 32;

std::uint32_t TagOf(std::uint64_t key) {
  return static_cast<std::uint32_t>(key >> 32) | 1U;
}

}  // namespace

endpoint_chooser::endpoint_chooser(endpoint_chooser_settings settings,
                                   std::shared_ptr<const placement> table)
    : settings_(std::move(settings)),
      loads_(settings_.load),
      hints_(settings_.hints),
      counts_(kKeyCountSlots) {
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
  if (now - last_decay_ < kCountHalfLife) return;
  last_decay_ = now;
  sent_ /= 2;
  for (key_count& key_slot : counts_) key_slot.count /= 2;
}

bool endpoint_chooser::IsUsable(search_state& state,
                                endpoint_index index) const {
  ++state.examined;
  const auto& excluded = state.request.excluded;
  if (std::find(excluded.begin(), excluded.end(), index) != excluded.end()) {
    return false;
  }
  if (table_->endpoints()[index].draining || !loads_.IsAdmitted(index)) {
    return false;
  }
  if (!state.first.has_value()) state.first = index;
  if (!loads_.IsFresh(index, state.now)) {
    if (!state.probe.has_value()) state.probe = index;
    return false;
  }
  state.any_usable = true;
  return true;
}

bool endpoint_chooser::WithinBound(search_state& state, endpoint_index index,
                                   bool safe) const {
  const std::uint32_t bound =
      safe ? loads_.SafeLoadBound(index, state.now) : loads_.LoadBound(index);
  return loads_.ExpectedLoad(index, state.now) <= bound;
}

// Estimated seconds until the first token: computing the prompt if it is not
// cached, plus waiting for the requests above the safe bound to complete.
double endpoint_chooser::CostOf(const search_state& state, endpoint_index index,
                                std::uint32_t position) const {
  const double prefill_seconds =
      position < state.preferred_count
          ? 0
          : static_cast<double>(state.request.prefix_tokens.value()) /
                table_->endpoints()[index].prefill_rate;
  const double expected = loads_.ExpectedLoad(index, state.now);
  const double excess =
      std::max(0.0, expected - loads_.SafeLoadBound(index, state.now));
  // Makes the less loaded one of several equally good preferred endpoints of a
  // hot key the cheapest.
  const double load_tiebreak =
      0.01 * expected / table_->endpoints()[index].capacity;
  return prefill_seconds + excess * loads_.WaitPerExcessRequest(index) +
         load_tiebreak;
}

// Returns the cheapest of the first endpoints in the key's order. Overflow goes
// to the next endpoint on the ring, which is the same on every VM.
std::optional<endpoint_index> endpoint_chooser::CheapestOnRing(
    search_state& state, const placement::domain_ring& ring, bool safe) const {
  const std::size_t count = ring.points.size();
  auto point = static_cast<std::size_t>(std::lower_bound(ring.points.begin(),
                                                         ring.points.end(),
                                                         state.request.key) -
                                        ring.points.begin());
  std::array<endpoint_index, kMaxCompared> compared{};
  std::uint32_t compared_count = 0;
  std::optional<endpoint_index> best;
  double lowest_cost = 0;
  const std::uint32_t max_compared =
      std::max(kMinCompared, state.preferred_count);
  for (std::uint32_t step = 0; step < kMaxRingSteps && step < count; ++step) {
    if (point >= count) point = 0;
    const endpoint_index index = ring.point_owners[point++];
    if (std::find(compared.begin(), compared.begin() + compared_count, index) !=
        compared.begin() + compared_count) {
      continue;
    }
    if (!IsUsable(state, index)) continue;
    compared.at(compared_count) = index;
    const std::uint32_t position = compared_count++;
    if (WithinBound(state, index, safe)) {
      const double cost = CostOf(state, index, position);
      if (!best.has_value() || cost < lowest_cost) {
        best = index;
        lowest_cost = cost;
      }
    }
    if (compared_count >= max_compared) break;
  }
  return best;
}

std::optional<endpoint_index> endpoint_chooser::ScanMembers(
    search_state& state, const placement::domain_ring& ring, bool safe,
    std::size_t max_members) const {
  const std::size_t count = ring.members.size();
  std::size_t member = state.request.key % count;
  for (std::size_t i = 0; i < count && i < max_members; ++i) {
    const endpoint_index index = ring.members[member];
    if (IsUsable(state, index) && WithinBound(state, index, safe)) return index;
    if (++member == count) member = 0;
  }
  return std::nullopt;
}

std::optional<endpoint_index> endpoint_chooser::HintedEndpoint(
    search_state& state) const {
  const cache_hint& hint = hints_[state.request.key % hints_.size()];
  if (hint.tag != TagOf(state.request.key)) return std::nullopt;
  const placement_endpoint& endpoint = table_->endpoints()[hint.index];
  if (endpoint.domain != settings_.own_domain) return std::nullopt;
  // Checked with a copy of the state, because the hinted endpoint is not part
  // of the key's order.
  search_state hint_state = state;
  const bool is_suitable = IsUsable(hint_state, hint.index) &&
                           WithinBound(hint_state, hint.index, true);
  ++state.examined;
  return is_suitable ? std::optional(hint.index) : std::nullopt;
}

std::uint32_t endpoint_chooser::PreferredCountOf(std::uint64_t key) const {
  const key_count& key_slot = counts_[key % kKeyCountSlots];
  if (key_slot.tag != TagOf(key) || sent_ < kMinSentForHotKey) return 1;
  const double endpoints = static_cast<double>(
      own_ring_.has_value() ? table_->rings()[*own_ring_].members.size()
                            : table_->endpoints().size());
  const double preferred_count =
      key_slot.count / sent_ * endpoints / settings_.hot_share;
  return static_cast<std::uint32_t>(
      std::clamp(preferred_count, 1.0,
                 std::min<double>(settings_.max_preferred, kMaxCompared)));
}

// Returns an empty value if every endpoint of the own failure domain is at its
// safe bound. Above it, the VMs' differing estimates could no longer keep the
// actual load within the load bound.
std::optional<endpoint_index> endpoint_chooser::InOwnDomain(
    search_state& state) const {
  if (!own_ring_.has_value()) return std::nullopt;
  const auto& ring = table_->rings()[*own_ring_];
  const auto cheapest = CheapestOnRing(state, ring, false);
  if (cheapest.has_value() && WithinBound(state, *cheapest, true)) {
    return cheapest;
  }
  const auto other = ScanMembers(state, ring, true, kMaxSampledMembers);
  return cheapest.has_value() && other.has_value() ? cheapest : other;
}

std::optional<endpoint_index> endpoint_chooser::InOtherDomains(
    search_state& state, bool safe) const {
  const auto& rings = table_->rings();
  // The key determines the domain to start with, so that overflow is spread.
  for (std::size_t i = 0; i < rings.size(); ++i) {
    const std::size_t ring_index = (state.request.key + i) % rings.size();
    if (ring_index == own_ring_) continue;
    auto chosen = CheapestOnRing(state, rings[ring_index], safe);
    if (!chosen.has_value()) {
      chosen = ScanMembers(
          state, rings[ring_index], safe,
          safe ? kMaxSampledMembers : rings[ring_index].members.size());
    }
    if (chosen.has_value()) return chosen;
  }
  return std::nullopt;
}

result<endpoint_choice, choice_failure> endpoint_chooser::Choose(
    const choice_request& request, steady_time now) {
  search_state state{request,     now,   PreferredCountOf(request.key),
                     0,           false, std::nullopt,
                     std::nullopt};
  std::optional<endpoint_index> chosen;
  if (state.preferred_count == 1) chosen = HintedEndpoint(state);
  if (!chosen.has_value()) chosen = InOwnDomain(state);
  if (!chosen.has_value()) chosen = InOtherDomains(state, true);
  if (!chosen.has_value() && own_ring_.has_value()) {
    const auto& ring = table_->rings()[*own_ring_];
    chosen = ScanMembers(state, ring, false, ring.members.size());
  }
  if (!chosen.has_value()) chosen = InOtherDomains(state, false);
  if (chosen.has_value()) {
    return endpoint_choice{*chosen, state.examined, state.first == chosen,
                           state.probe};
  }
  choice_failure none;
  none.probe = state.probe;
  if (state.any_usable) {
    none.reason = choice_failure_reason::kAllOverBound;
  } else if (state.probe.has_value()) {
    none.reason = choice_failure_reason::kAllStale;
  }
  return failure(none);
}

void endpoint_chooser::OnSent(std::uint64_t key, endpoint_index index,
                              steady_time now) {
  loads_.OnSent(index, now);
  sent_ += 1;
  key_count& key_slot = counts_[key % kKeyCountSlots];
  // Space-saving counting: a new key takes over a slot once the count of the
  // old key has dropped below 1.
  if (key_slot.tag == TagOf(key)) {
    key_slot.count += 1;
  } else if (key_slot.count < 1) {
    key_slot = {TagOf(key), 1};
  } else {
    key_slot.count -= 1;
  }
}

void endpoint_chooser::OnFinished(endpoint_index index, steady_time now) {
  loads_.OnFinished(index, now);
}

void endpoint_chooser::OnCacheHint(std::uint64_t key, endpoint_index index,
                                   bool is_cached) {
  cache_hint& hint = hints_[key % hints_.size()];
  if (is_cached) {
    hint = {TagOf(key), index};
  } else if (hint.tag == TagOf(key) && hint.index == index) {
    hint = {};
  }
}

}  // namespace marjoramsill
