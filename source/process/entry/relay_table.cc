#include "process/entry/relay_table.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace marjoramsill {
namespace {

/// Requests in progress by which a VM of the same failure domain may exceed the
/// others.
constexpr std::size_t kNearPreference = 4;
/// A VM that took no request is avoided for this time. Its links may have been
/// lost together with those of this VM.
constexpr std::chrono::milliseconds kAvoidTime{500};
/// A VM without a place for a pool is not asked for one for this time, so that
/// a pool that is full everywhere causes few messages between VMs.
constexpr std::chrono::milliseconds kFullTime{50};
/// Other VMs are asked for until this time after the last shortage.
constexpr std::chrono::milliseconds kShortageTime{1'000};

}  // namespace

relay_table::relay_table(random_source random) : random_(std::move(random)) {}

void relay_table::SetOffers(const std::vector<relay_offer>& offers) {
  offers_ = offers;
}

bool relay_table::IsAvoided(const std::string& address, const model_id& pool,
                            steady_time now) const {
  const auto avoided = avoid_until_.find(address);
  if (avoided != avoid_until_.end() && now < avoided->second) return true;
  const auto full = full_until_.find({address, pool});
  return full != full_until_.end() && now < full->second;
}

std::optional<std::string> relay_table::Pick(
    const std::vector<std::string>& tried, const model_id& pool,
    steady_time now) const {
  const relay_offer* best = nullptr;
  std::size_t best_load = std::numeric_limits<std::size_t>::max();
  const std::size_t start = offers_.empty() ? 0 : random_() % offers_.size();
  for (std::size_t i = 0; i < offers_.size(); ++i) {
    const relay_offer& offer = offers_[(start + i) % offers_.size()];
    const std::string& address = offer.address;
    if (std::find(tried.begin(), tried.end(), address) != tried.end()) continue;
    if (IsAvoided(address, pool, now)) continue;
    const auto busy = in_flight_.find(address);
    std::size_t load = busy == in_flight_.end() ? 0 : busy->second;
    if (!offer.is_near) load += kNearPreference;
    if (load >= best_load) continue;
    best = &offer;
    best_load = load;
  }
  return best == nullptr ? std::nullopt : std::optional(best->address);
}

bool relay_table::IsShort(steady_time now) const {
  return short_at_ != steady_time::min() && now - short_at_ < kShortageTime;
}

void relay_table::OnEnd(const std::string& address) {
  const auto found = in_flight_.find(address);
  if (found == in_flight_.end()) return;
  if (--found->second == 0) in_flight_.erase(found);
}

void relay_table::OnUnavailable(const std::string& address, steady_time now) {
  std::erase_if(avoid_until_,
                [now](const auto& entry) { return entry.second <= now; });
  avoid_until_[address] = now + kAvoidTime;
}

void relay_table::OnFull(const std::string& address, const model_id& pool,
                         steady_time now) {
  std::erase_if(full_until_,
                [now](const auto& entry) { return entry.second <= now; });
  full_until_[{address, pool}] = now + kFullTime;
}

}  // namespace marjoramsill
