#include "process/placement/endpoint_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

/// Weight of one call in the mean duration.
constexpr double kDurationGain = 0.05;
/// Assumed until the first call has ended.
constexpr double kInitialDurationMs = 100;
/// A home above the bound still gets a few requests, which bring its reports.
constexpr double kMinRoom = 0.01;
/// A double holds this many random bits.
constexpr int kDoubleBits = 53;
constexpr int kDoubleShift = 64 - kDoubleBits;

std::uint64_t HomeScore(const endpoint_record& record, std::uint64_t session) {
  const std::string& id = record.id.value();
  return XXH3_64bits_withSeed(id.data(), id.size(), session);
}

}  // namespace

endpoint_pool::endpoint_pool(placement_settings settings, random_source random)
    : settings_(std::move(settings)),
      random_(std::move(random)),
      duration_ms_(kDurationGain, kInitialDurationMs) {}

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
    found->second->Update(record);
    return;
  }
  if (record.phase == endpoint_phase::kGone) return;
  endpoints_[record.id] =
      std::make_unique<endpoint_belief>(record, cache_capacity_);
}

endpoint_belief* endpoint_pool::Find(const endpoint_id& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second.get();
}

bool endpoint_pool::CanServe() const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(),
      [](const auto& entry) { return entry.second->IsServing(); });
}

void endpoint_pool::Sweep() {
  std::erase_if(endpoints_, [](const auto& entry) {
    return entry.second->record().phase == endpoint_phase::kGone &&
           entry.second->in_flight() == 0;
  });
}

std::vector<endpoint_pool::candidate> endpoint_pool::Candidates(
    const std::vector<endpoint_id>& tried, bool also_avoided, steady_time now) {
  std::vector<candidate> found;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsServing()) continue;
    if (!also_avoided && endpoint->IsAvoided(now)) continue;
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    found.push_back({endpoint.get(), endpoint->EstimatedLoad(now)});
  }
  return found;
}

double endpoint_pool::MeanLoad(const std::vector<candidate>& candidates) {
  double total = 0;
  for (const candidate& each : candidates) total += each.load;
  return total / static_cast<double>(candidates.size());
}

void endpoint_pool::DropOverloaded(std::vector<candidate>& candidates,
                                   double mean) const {
  const double most = settings_.load_cap * mean + settings_.load_allowance;
  std::erase_if(candidates,
                [most](const candidate& each) { return each.load > most; });
}

const endpoint_belief* endpoint_pool::FirstKeeper(
    std::uint64_t chain, const endpoint_belief& except) const {
  const endpoint_belief* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const bool is_leaving =
        endpoint->record().phase == endpoint_phase::kLeaving;
    if (!endpoint->IsServing() && !is_leaving) continue;
    if (endpoint.get() == &except) continue;
    const std::uint64_t score = HomeScore(endpoint->record(), chain);
    if (best == nullptr || score > best_score) {
      best = endpoint.get();
      best_score = score;
    }
  }
  return best;
}

/// Load reports lag, so that all entry VMs would leave a loaded first choice at
/// once and come back at once. A random choice between two, by the room that
/// each has left, keeps both loads steady and the prefix on two endpoints.
const endpoint_belief* endpoint_pool::PickHome(
    std::uint64_t chain, const std::vector<candidate>& candidates,
    double mean) const {
  std::array<std::pair<std::uint64_t, const candidate*>, 2> best{};
  for (const candidate& each : candidates) {
    const std::uint64_t score = HomeScore(each.endpoint->record(), chain);
    const std::pair<std::uint64_t, const candidate*> scored(score, &each);
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
      settings_.home_load_cap * mean + settings_.load_allowance;
  const double first_room = std::max(kMinRoom, bound - first->load);
  const double second_room = std::max(kMinRoom, bound - second->load);
  const double drawn = static_cast<double>(random_() >> kDoubleShift) *
                       std::ldexp(1, -kDoubleBits);
  const bool takes_first = drawn * (first_room + second_room) < first_room;
  return takes_first ? first->endpoint : second->endpoint;
}

/// An endpoint that was seen to have the prefix, or else the first choice
/// among the others: it has the prefix if the chosen one is new, or if the
/// first choice was passed over.
const endpoint_belief* endpoint_pool::FindKeeper(const request_demand& demand,
                                                 const shared_prefix& shared,
                                                 const endpoint_belief& chosen,
                                                 steady_time now) const {
  if (shared.tokens < settings_.min_fetch) return nullptr;
  if (chosen.prefixes().CachedTokens(demand.parts) >= shared.tokens) {
    return nullptr;
  }
  const endpoint_belief* keeper = FirstKeeper(shared.chain, chosen);
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.get() == &chosen) continue;
    if (endpoint->record().phase == endpoint_phase::kGone) continue;
    if (endpoint->IsAvoided(now)) continue;
    if (endpoint->prefixes().CachedTokens(demand.parts) >= shared.tokens) {
      keeper = endpoint.get();
    }
  }
  return keeper == nullptr || keeper->IsAvoided(now) ? nullptr : keeper;
}

endpoint_pool::shared_prefix endpoint_pool::FindShared(
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
  shared.chain = ChainOf(demand.parts, parts);
  shared.home = PickHome(shared.chain, candidates, mean);
  return shared;
}

void endpoint_pool::NoteDemand(const request_demand& demand) {
  sessions_.Note(demand.parts);
}

placement_choice endpoint_pool::Rate(const candidate& each,
                                     const request_demand& demand,
                                     const shared_prefix& shared) const {
  const endpoint_belief& endpoint = *each.endpoint;
  placement_choice choice;
  choice.endpoint = each.endpoint;
  choice.load = each.load;
  choice.cached = endpoint.prefixes().CachedTokens(demand.parts);
  // Other entry VMs send the session to the same first choice.
  if (&endpoint == shared.home && choice.cached < shared.tokens) {
    choice.cached = shared.tokens;
  }
  const auto cached = static_cast<double>(choice.cached.value());
  const double computed = static_cast<double>(demand.prompt.value()) - cached;
  const double read_again =
      std::max(0.0, static_cast<double>(shared.tokens.value()) - cached);
  const double slots = endpoint.slots();
  const double over = std::max(0.0, each.load - slots + 1);
  choice.wait_ms = over * duration_ms_.value() / slots;
  choice.cost_ms = choice.wait_ms + computed / settings_.prefill_tokens_per_ms +
                   settings_.reread_cost_ms * read_again +
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

std::optional<placement_choice> endpoint_pool::Choose(
    const request_demand& demand, const std::vector<endpoint_id>& tried,
    steady_time now) {
  std::vector<candidate> candidates = Candidates(tried, false, now);
  // Trying an endpoint that failed lately is better than not trying at all.
  if (candidates.empty()) candidates = Candidates(tried, true, now);
  if (candidates.empty()) return std::nullopt;
  const std::size_t found = candidates.size();
  const double mean = MeanLoad(candidates);
  DropOverloaded(candidates, mean);
  const shared_prefix shared = FindShared(demand, candidates, mean);
  std::optional<placement_choice> best;
  // Starting anywhere makes equal costs take turns.
  const std::size_t start = random_() % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const candidate& each = candidates[(start + i) % candidates.size()];
    const placement_choice rated = Rate(each, demand, shared);
    if (!best || rated.cost_ms < best->cost_ms) best = rated;
  }
  best->candidates = found;
  if (const auto age = best->endpoint->ReportAge(now)) {
    best->load_age_ms = MillisOf(*age);
  }
  const endpoint_belief* keeper =
      FindKeeper(demand, shared, *best->endpoint, now);
  if (keeper != nullptr) best->fetch_from = keeper->record().address;
  return best;
}

void endpoint_pool::NoteDuration(std::chrono::microseconds duration) {
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
