#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "process/placement/endpoint_pool.h"

namespace marjoramsill {
namespace {

/// What other entry VMs have in progress is used for this time. Longer than two
/// control processes hold it, one after the other.
constexpr std::chrono::milliseconds kMaxProgressAge{1'000};

/// Selects the VMs that get one place more at this endpoint.
std::uint64_t OrderOf(const endpoint_estimate& endpoint) {
  return DigestOf(endpoint.record().id).value();
}

}  // namespace

std::optional<load_bound> endpoint_pool::Bound(steady_time now) const {
  double estimated = 0;
  double expected = 0;
  double in_progress = OthersInProgress(now);
  double count = 0;
  bool reports_load = false;
  // The bound is a multiple of the mean of all endpoints of the pool. Those of
  // an evacuated domain belong to it, and are idle.
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsKnownToOperate(now)) continue;
    estimated += endpoint->EstimatedLoad(now);
    expected += endpoint->ExpectedLoad(duration_ms_.value(), now);
    in_progress += endpoint->in_flight();
    reports_load = reports_load || endpoint->ReportAge(now).has_value();
    ++count;
  }
  if (count == 0) return std::nullopt;
  // Reports are the first to show a rise, and lack requests at endpoints that
  // seldom respond.
  if (reports_load) expected = std::max(expected, in_progress);
  return load_bound(settings_, estimated / count, expected / count,
                    reports_load ? position_ : fleet_position());
}

std::vector<endpoint_pool::candidate> endpoint_pool::WithinSlots(
    std::vector<candidate> candidates, steady_time now) const {
  if (!LimitsRefusals()) return candidates;
  std::erase_if(candidates, [this, now](const candidate& each) {
    return !MayRefuse(*each.endpoint) && IsFull(each, now);
  });
  return candidates;
}

bool endpoint_pool::IsFull(const candidate& each, steady_time now) const {
  const endpoint_estimate& endpoint = *each.endpoint;
  return each.load > endpoint.slots() || endpoint.HasQueue(now) ||
         endpoint.SlotsTaken(now) >= OwnSlots(endpoint);
}

bool endpoint_pool::LimitsRefusals() const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [](const auto& entry) {
        const auto& limit = entry.second->terms().refusal_limit();
        return !entry.second->is_evacuated() && limit &&
               *limit != kUnlimitedRefusals;
      });
}

bool endpoint_pool::MayRefuse(const endpoint_estimate& endpoint) {
  return endpoint.terms().refusal_limit() == kUnlimitedRefusals;
}

std::uint32_t endpoint_pool::OwnSlots(const endpoint_estimate& endpoint) const {
  return load_bound::PartOf(endpoint.slots(), OrderOf(endpoint), position_);
}

std::uint32_t endpoint_pool::InProgress(steady_time now) const {
  std::uint32_t requests = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint->IsKnownToServe(now)) requests += endpoint->in_flight();
  }
  return requests;
}

void endpoint_pool::SetOthersProgress(std::uint32_t requests, steady_time now) {
  const bool is_first =
      !others_reported_at_ || now - *others_reported_at_ > kMaxProgressAge;
  if (is_first) others_in_progress_ = smoothed_value(kProgressGain, requests);
  others_in_progress_.Add(requests);
  others_reported_at_ = now;
}

double endpoint_pool::OthersInProgress(steady_time now) const {
  const bool is_known =
      others_reported_at_ && now - *others_reported_at_ <= kMaxProgressAge;
  return is_known ? others_in_progress_.value() : 0;
}

std::vector<endpoint_pool::candidate> endpoint_pool::WithinBound(
    const std::vector<candidate>& candidates, const load_bound& bound) {
  const auto select = [&candidates](const auto& is_within) {
    std::vector<candidate> found;
    std::copy_if(candidates.begin(), candidates.end(),
                 std::back_inserter(found), is_within);
    return found;
  };
  if (bound.IsScarce(MeanUnlimitedLoad(candidates))) {
    const auto has_place = [&bound](const candidate& each) {
      return each.load <= bound.most() &&
             each.endpoint->in_flight() <
                 bound.OwnPlaces(OrderOf(*each.endpoint));
    };
    // A slow endpoint's places are used once the others have none left.
    std::vector<candidate> quick = select([&bound,
                                           &has_place](const candidate& each) {
      return has_place(each) && each.load <= bound.most() * SpeedShare(each);
    });
    return quick.empty() ? select(has_place) : quick;
  }
  std::vector<candidate> usual = select([&bound](const candidate& each) {
    return each.load <= bound.usual() * SpeedShare(each);
  });
  if (!usual.empty()) return usual;
  return select(
      [&bound](const candidate& each) { return each.load <= bound.most(); });
}

double endpoint_pool::MeanUnlimitedLoad(
    const std::vector<candidate>& candidates) {
  double total = 0;
  double count = 0;
  for (const candidate& each : candidates) {
    if (each.is_cold || each.endpoint->terms().limit().per_second()) continue;
    total += each.load;
    ++count;
  }
  return count > 0 ? total / count : MeanLoad(candidates);
}

double endpoint_pool::MeanLoad(const std::vector<candidate>& candidates) {
  double total = 0;
  for (const candidate& each : candidates) total += each.load;
  return total / static_cast<double>(candidates.size());
}

bool endpoint_pool::HasPlace(const placement_limits& limits, steady_time now) {
  const std::vector<candidate> candidates =
      WithinSlots(FindUsable(limits, now), now);
  if (candidates.empty()) return false;
  const auto bound = Bound(now);
  return !bound || !WithinBound(candidates, *bound).empty();
}

std::optional<full_pool> endpoint_pool::FindFull(const placement_limits& limits,
                                                 steady_time now) {
  const std::vector<candidate> candidates = FindUsable(limits, now);
  const auto bound = Bound(now);
  if (candidates.empty() || !bound) return std::nullopt;
  const bool limits_refusals = LimitsRefusals();
  full_pool full;
  full.pool_mean = bound->pool_mean();
  full.bound = bound->most();
  full.candidates = candidates.size();
  full.left_out = CountServing() - candidates.size();
  full.least_load = candidates.front().load;
  for (const candidate& each : candidates) {
    full.least_load = std::min(full.least_load, each.load);
    const std::uint32_t places = bound->OwnPlaces(OrderOf(*each.endpoint));
    const bool has_all = !limits_refusals || MayRefuse(*each.endpoint);
    full.own_places +=
        has_all ? places : std::min(places, OwnSlots(*each.endpoint));
  }
  return full;
}

}  // namespace marjoramsill
