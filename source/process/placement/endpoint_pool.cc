#include "process/placement/endpoint_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

/// Weight of one call in the mean call duration.
constexpr double kDurationGain = 0.05;
/// Mean call duration in milliseconds until the first call has ended.
constexpr double kInitialDurationMs = 100;
/// Least remaining capacity, in requests, that a preferred endpoint counts
/// with. One above the load bound still gets a few requests, since their
/// responses carry its load reports.
constexpr double kMinRemainingCapacity = 0.01;
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
    return;
  }
  if (record.phase == endpoint_phase::kEnded) return;
  endpoints_[record.id] = std::make_unique<endpoint_estimate>(
      record, cache_capacity_, terms_->Of(record));
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
  const double usual_rate = UsualRate(now);
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsServing()) continue;
    endpoint->terms().limit().SetUsualRate(usual_rate);
    if (!also_avoided && endpoint->IsAvoided(now)) continue;
    if (!IsWithin(limits, *endpoint, now)) continue;
    if (!endpoint->terms().IsOpen(now)) continue;
    if (!endpoint->terms().limit().HasAllowance(position_, now)) continue;
    found.push_back({endpoint.get(), endpoint->EstimatedLoad(now),
                     PreferenceWeight(*endpoint, now)});
  }
  return found;
}

double endpoint_pool::UsualRate(steady_time now) const {
  return choices_.PerSecond(now) / static_cast<double>(endpoints_.size());
}

double endpoint_pool::PreferenceWeight(const endpoint_estimate& endpoint,
                                       steady_time now) const {
  const auto own_rate = endpoint.terms().limit().OwnRate(position_, now);
  if (!own_rate) return 1;
  const double usual = UsualRate(now);
  if (usual <= 0) return 1;
  return std::clamp(*own_rate / usual, kMinWeight, kMaxWeight);
}

const endpoint_estimate* endpoint_pool::FindPreferredExcept(
    std::uint64_t prefix_hash, const endpoint_estimate& except) const {
  const endpoint_estimate* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const bool is_leaving =
        endpoint->record().phase == endpoint_phase::kLeaving;
    if (!endpoint->IsServing() && !is_leaving) continue;
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
  const bool is_idle = mean < 1;
  if (second == nullptr || is_idle) return first->endpoint;
  const double bound =
      settings_.preferred_load_cap * mean + settings_.load_allowance;
  const double first_remaining =
      std::max(kMinRemainingCapacity, bound - first->load);
  const double second_remaining =
      std::max(kMinRemainingCapacity, bound - second->load);
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

void endpoint_pool::RecordDemand(const request_demand& demand) {
  sessions_.Record(demand.parts);
}

placement_choice endpoint_pool::EstimateCost(
    const candidate& each, const request_demand& demand,
    const shared_prefix& shared) const {
  const endpoint_estimate& endpoint = *each.endpoint;
  placement_choice choice;
  choice.endpoint = each.endpoint;
  choice.load = each.load;
  choice.cached = endpoint.prefixes().CachedTokens(demand.parts);
  // Other entry VMs send the session to the same preferred endpoint, so that
  // its cache has the shared prefix even if this entry VM never sent it there.
  if (&endpoint == shared.preferred && choice.cached < shared.tokens) {
    choice.cached = shared.tokens;
  }
  const auto cached = static_cast<double>(choice.cached.value());
  const double computed = static_cast<double>(demand.prompt.value()) - cached;
  const double recomputed =
      std::max(0.0, static_cast<double>(shared.tokens.value()) - cached);
  const double slots = endpoint.slots();
  const double queued = std::max(0.0, each.load - slots + 1);
  choice.wait_ms = queued * duration_ms_.value() / slots;
  choice.cost_ms = choice.wait_ms + computed / settings_.prefill_tokens_per_ms +
                   settings_.recompute_cost_ms * recomputed +
                   settings_.running_cost_ms * each.load +
                   settings_.failure_cost_ms * endpoint.failure_rate();
  if (endpoint.record().domain != settings_.domain) {
    choice.cost_ms += settings_.remote_cost_ms;
  }
  if (endpoint.record().phase == endpoint_phase::kSilent) {
    choice.cost_ms += settings_.silent_cost_ms;
  }
  return choice;
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

placement_choice endpoint_pool::FindCheapest(
    const request_demand& demand, const std::vector<candidate>& candidates,
    const shared_prefix& shared) const {
  std::optional<placement_choice> best;
  // A random start distributes requests among endpoints of equal cost.
  const std::size_t start = random_() % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const candidate& each = candidates[(start + i) % candidates.size()];
    const placement_choice choice = EstimateCost(each, demand, shared);
    if (!best || choice.cost_ms < best->cost_ms) best = choice;
  }
  return *best;
}

std::optional<std::chrono::microseconds> endpoint_pool::LimitWait(
    const placement_limits& limits, steady_time now) {
  std::optional<std::chrono::microseconds> least;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsServing() || !IsWithin(limits, *endpoint, now)) {
      continue;
    }
    if (!endpoint->terms().IsOpen(now)) continue;
    const auto wait = endpoint->terms().limit().Wait(position_, now);
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
