#include "process/placement/endpoint_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace marjoramsill {
namespace {

/// Weight of one call in the mean call duration.
constexpr double kDurationGain = 0.05;
/// Mean call duration in milliseconds until the first call has ended.
constexpr double kInitialDurationMs = 100;
bool IsWithin(const placement_limits& limits, const endpoint_estimate& endpoint,
              steady_time now) {
  const endpoint_record& record = endpoint.record();
  if (limits.software && !endpoint.HasSoftware(*limits.software, now)) {
    return false;
  }
  return std::find(limits.tried.begin(), limits.tried.end(), record.id) ==
         limits.tried.end();
}

}  // namespace

endpoint_pool::endpoint_pool(placement_settings settings, random_source random,
                             std::shared_ptr<endpoint_terms_table> terms)
    : settings_(std::move(settings)),
      random_(std::move(random)),
      terms_(terms ? std::move(terms)
                   : std::make_shared<endpoint_terms_table>()),
      duration_ms_(kDurationGain, kInitialDurationMs),
      others_in_progress_(kProgressGain) {}

void endpoint_pool::SetCacheCapacity(token_count capacity) {
  if (capacity == cache_capacity_) return;
  cache_capacity_ = capacity;
  for (const auto& [id, endpoint] : endpoints_) {
    endpoint->prefixes().SetCapacity(capacity);
  }
}

void endpoint_pool::Apply(const endpoint_record& record) {
  const auto found = endpoints_.find(record.id);
  if (found != endpoints_.end()) {
    terms_->Of(record);
    found->second->Update(record);
    found->second->SetEvacuated(IsEvacuated(record));
    return;
  }
  if (record.phase == endpoint_phase::kEnded) return;
  endpoints_[record.id] = std::make_unique<endpoint_estimate>(
      record, cache_capacity_, terms_->Of(record));
  endpoints_[record.id]->SetEvacuated(IsEvacuated(record));
}

void endpoint_pool::SetEvacuated(const std::vector<failure_domain_id>& domains,
                                 steady_time /*now*/) {
  evacuated_ = domains;
  for (const auto& [id, endpoint] : endpoints_) {
    endpoint->SetEvacuated(IsEvacuated(endpoint->record()));
  }
}

bool endpoint_pool::IsEvacuated(const endpoint_record& record) const {
  return std::binary_search(evacuated_.begin(), evacuated_.end(),
                            record.domain);
}

endpoint_estimate* endpoint_pool::Find(const endpoint_id& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second.get();
}

bool endpoint_pool::CanServe(const placement_limits& limits,
                             steady_time now) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&limits, now](const auto& entry) {
        return entry.second->IsServing() && entry.second->terms().IsOpen(now) &&
               IsWithin(limits, *entry.second, now);
      });
}

bool endpoint_pool::HasSeveralVersions() const {
  const std::string* first = nullptr;
  for (const auto& [id, endpoint] : endpoints_) {
    const endpoint_record& record = endpoint->record();
    if (record.phase == endpoint_phase::kEnded) continue;
    if (first != nullptr && *first != record.software) return true;
    first = &record.software;
  }
  return false;
}

std::optional<steady_time> endpoint_pool::OldestWait() const {
  std::optional<steady_time> oldest;
  for (const auto& [id, endpoint] : endpoints_) {
    const auto since = endpoint->waiting_since();
    if (!since || !endpoint->IsServing()) continue;
    oldest = std::min(oldest.value_or(*since), *since);
  }
  return oldest;
}

std::size_t endpoint_pool::CountServing() const {
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(),
      [](const auto& entry) { return entry.second->IsServing(); }));
}

std::vector<endpoint_record> endpoint_pool::PickServing(std::size_t count) {
  std::vector<const endpoint_estimate*> serving;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint->IsServing()) serving.push_back(endpoint.get());
  }
  std::vector<endpoint_record> picked;
  while (picked.size() < count && !serving.empty()) {
    const std::size_t drawn = random_() % serving.size();
    picked.push_back(serving[drawn]->record());
    serving[drawn] = serving.back();
    serving.pop_back();
  }
  return picked;
}

void endpoint_pool::ForgetFailures() {
  for (const auto& [id, endpoint] : endpoints_) endpoint->ForgetFailures();
}

void endpoint_pool::Sweep() {
  std::erase_if(endpoints_, [](const auto& entry) {
    return entry.second->record().phase == endpoint_phase::kEnded &&
           entry.second->in_flight() == 0;
  });
}

std::vector<endpoint_pool::candidate> endpoint_pool::FindCandidates(
    const placement_limits& limits, bool also_avoided, steady_time now) {
  std::vector<candidate> found;
  cold_left_out_.clear();
  UpdateSpeeds(now);
  const double usual_rate = UsualRate(now);
  if (warm_up_limit_) warm_up_limit_->SetPosition(position_, now);
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsServing()) continue;
    endpoint->terms().limit().SetUsualRate(usual_rate);
    if (!also_avoided && endpoint->IsAvoided(now)) continue;
    if (!IsWithin(limits, *endpoint, now)) continue;
    if (!endpoint->terms().IsOpen(now)) continue;
    if (!endpoint->terms().limit().HasAllowance(position_, now)) continue;
    const coldness state = ColdnessOf(*endpoint, now);
    const bool is_cold = IsLimited(state, also_avoided);
    if (!state.is_cold && !state.may_be_cold) endpoint->warm_up().OnWarm();
    if (is_cold &&
        !endpoint->warm_up().HasAllowance(ColdPart(*endpoint, now), now)) {
      cold_left_out_.push_back(endpoint.get());
      continue;
    }
    found.push_back({endpoint.get(), endpoint->EstimatedLoad(now),
                     PreferenceWeight(*endpoint, is_cold, now), is_cold,
                     DurationFactor(*endpoint)});
  }
  return found;
}

double endpoint_pool::UsualRate(steady_time now) const {
  const auto count = std::count_if(
      endpoints_.begin(), endpoints_.end(),
      [](const auto& entry) { return !entry.second->is_evacuated(); });
  if (count == 0) return 0;
  return choices_.PerSecond(now) / static_cast<double>(count);
}

void endpoint_pool::RecordDemand(const request_demand& demand) {
  sessions_.Record(demand.parts);
}

std::vector<endpoint_pool::candidate> endpoint_pool::FindUsable(
    const placement_limits& limits, steady_time now) {
  std::vector<candidate> found = FindCandidates(limits, false, now);
  // An endpoint that failed recently is better than none.
  if (found.empty()) found = FindCandidates(limits, true, now);
  return found;
}

std::optional<placement_choice> endpoint_pool::Choose(
    const request_demand& demand, const placement_limits& limits,
    steady_time now) {
  std::vector<candidate> candidates = FindUsable(limits, now);
  if (candidates.empty()) return std::nullopt;
  const std::size_t found = candidates.size();
  candidates = WithinSlots(std::move(candidates), now);
  if (candidates.empty()) return std::nullopt;
  const auto bound = Bound(now);
  if (bound) candidates = WithinBound(candidates, *bound);
  if (candidates.empty()) return std::nullopt;
  choices_.Count(now);
  const double mean = bound ? bound->pool_mean() : MeanLoad(candidates);
  const shared_prefix shared = FindSharedPrefix(demand, candidates, mean);
  placement_choice best = FindCheapest(demand, candidates, shared);
  best.candidates = found;
  best.is_cold = ColdnessOf(*best.endpoint, now).is_cold;
  best.left_out = CountServing() - found;
  best.pool_mean = mean;
  best.is_over_bound = bound && best.load > bound->most();
  if (const auto age = best.endpoint->ReportAge(now)) {
    best.load_age_ms = MillisOf(*age);
  }
  const endpoint_estimate* source =
      FindCopySource(demand, shared, *best.endpoint, now);
  if (source != nullptr) best.fetch_from = source->record().address;
  return best;
}

std::optional<std::chrono::microseconds> endpoint_pool::LimitWait(
    const placement_limits& limits, steady_time now) {
  std::optional<std::chrono::microseconds> least;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsServing() || !IsWithin(limits, *endpoint, now)) {
      continue;
    }
    if (!endpoint->terms().IsOpen(now)) continue;
    auto wait = endpoint->terms().limit().Wait(position_, now);
    const coldness state = ColdnessOf(*endpoint, now);
    if (wait && state.is_cold) {
      wait = std::max(*wait, ColdWait(*endpoint, state, now));
    }
    if (wait && (!least || *wait < *least)) least = wait;
  }
  return least;
}

std::optional<std::chrono::microseconds> endpoint_pool::PauseWait(
    const placement_limits& limits, steady_time now) const {
  std::optional<std::chrono::microseconds> least;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsServing() || !IsWithin(limits, *endpoint, now)) {
      continue;
    }
    if (endpoint->terms().is_leaving()) continue;
    if (endpoint->terms().IsOpen(now)) return std::nullopt;
    const auto left = endpoint->terms().PauseLeft(now);
    if (!least || left < *least) least = left;
  }
  return least;
}

void endpoint_pool::RecordDuration(std::chrono::microseconds duration) {
  duration_ms_.Add(MillisOf(duration));
}

void endpoint_pool::TakeLoads(std::vector<shared_load>& loads,
                              steady_time now) {
  for (const auto& [id, endpoint] : endpoints_) {
    const auto load = endpoint->TakeUnsharedLoad(now);
    if (load) loads.push_back(*load);
  }
}

}  // namespace marjoramsill
