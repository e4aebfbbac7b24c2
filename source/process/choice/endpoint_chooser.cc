#include "process/choice/endpoint_chooser.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

/// Ring points read before the members are scanned in turn.
constexpr std::uint32_t kMostSteps = 48;
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

double endpoint_chooser::Relative(endpoint_index index) const {
  return loads_.Estimate(index) /
         static_cast<double>(table_->endpoints()[index].capacity);
}

bool endpoint_chooser::Accepts(search& found, endpoint_index index) const {
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
  return loads_.HasRoom(index, found.now);
}

// Several homes share the load of a hot key; the others overflow to the next
// endpoint on the ring, which is the same one on every VM.
std::optional<endpoint_index> endpoint_chooser::Walk(
    search& found, const placement::domain_ring& ring,
    std::uint32_t homes) const {
  const std::size_t count = ring.points.size();
  auto at = static_cast<std::size_t>(std::lower_bound(ring.points.begin(),
                                                      ring.points.end(),
                                                      found.request.key) -
                                     ring.points.begin());
  std::optional<endpoint_index> best;
  endpoint_index last = ~endpoint_index{0};
  std::uint32_t accepted = 0;
  for (std::uint32_t step = 0; step < kMostSteps && step < count; ++step) {
    if (at >= count) at = 0;
    const endpoint_index index = ring.owners[at++];
    if (index == last || index == best) continue;
    last = index;
    if (!Accepts(found, index)) continue;
    if (!best.has_value() || Relative(index) < Relative(*best)) best = index;
    if (++accepted >= homes) break;
  }
  return best;
}

std::optional<endpoint_index> endpoint_chooser::Scan(
    search& found, const placement::domain_ring& ring) const {
  const std::size_t count = ring.members.size();
  std::size_t at = found.request.key % count;
  for (std::size_t i = 0; i < count; ++i) {
    const endpoint_index index = ring.members[at];
    if (Accepts(found, index)) return index;
    if (++at == count) at = 0;
  }
  return std::nullopt;
}

std::optional<endpoint_index> endpoint_chooser::Hinted(search& found) const {
  const cache_hint& hint = hints_[found.request.key % hints_.size()];
  if (hint.tag != TagOf(found.request.key)) return std::nullopt;
  const placement_endpoint& endpoint = table_->endpoints()[hint.index];
  if (endpoint.domain != settings_.own_domain) return std::nullopt;
  search probe = found;
  const bool accepted = Accepts(probe, hint.index);
  ++found.examined;
  return accepted ? std::optional(hint.index) : std::nullopt;
}

std::uint32_t endpoint_chooser::HomesOf(std::uint64_t key) const {
  const key_count& known = counts_[key % kCounts];
  if (known.tag != TagOf(key) || sent_ < kFewestSent) return 1;
  const double endpoints = static_cast<double>(
      own_ring_.has_value() ? table_->rings()[*own_ring_].members.size()
                            : table_->endpoints().size());
  const double homes = known.count / sent_ * endpoints / settings_.hot_share;
  return static_cast<std::uint32_t>(
      std::clamp(homes, 1.0, static_cast<double>(settings_.most_homes)));
}

result<endpoint_choice, choice_failure> endpoint_chooser::Choose(
    const choice_request& request, steady_time now) {
  search found{request, now, 0, false, std::nullopt, std::nullopt};
  const std::uint32_t homes = HomesOf(request.key);
  std::optional<endpoint_index> chosen;
  if (homes == 1) chosen = Hinted(found);
  const std::size_t rings = table_->rings().size();
  const std::size_t first =
      own_ring_.value_or(request.key % std::max<std::size_t>(rings, 1));
  for (std::size_t i = 0; i < rings && !chosen.has_value(); ++i) {
    const auto& ring = table_->rings()[(first + i) % rings];
    chosen = Walk(found, ring, homes);
    if (!chosen.has_value()) chosen = Scan(found, ring);
  }
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
