#include <algorithm>
#include <chrono>

#include "process/placement/endpoint_pool.h"

// Cold endpoints of a pool that limits requests to them.

namespace marjoramsill {
namespace {

/// A silent endpoint that has returned sends a heartbeat within this time.
constexpr std::chrono::seconds kHeartbeatWait{1};
/// The record of an endpoint that starts again arrives within this time if this
/// VM is in contact with a control process.
constexpr std::chrono::milliseconds kRecordDelay{2'000};

}  // namespace

void endpoint_pool::SetWarmUp(const std::optional<warm_up_spec>& spec) {
  if (spec == warm_up_) return;
  warm_up_ = spec;
  warm_up_limit_.reset();
  if (spec) warm_up_limit_.emplace(spec->per_second, settings_.warm_up);
}

void endpoint_pool::AssumeCold(const failure_domain_id& domain,
                               steady_time until) {
  steady_time& known = assumed_cold_[domain];
  known = std::max(known, until);
}

endpoint_pool::coldness endpoint_pool::ColdnessOf(
    const endpoint_estimate& endpoint, steady_time now) const {
  coldness state;
  if (!warm_up_) return state;
  const endpoint_record& record = endpoint.record();
  state.until = endpoint.cold_until();
  const auto assumed = assumed_cold_.find(record.domain);
  if (assumed != assumed_cold_.end()) {
    state.until = std::max(state.until, assumed->second);
  }
  if (record.phase == endpoint_phase::kSilent) {
    state.until = std::max(state.until, now + kHeartbeatWait);
  }
  state.is_cold = now < state.until;
  const std::chrono::milliseconds doubt =
      in_contact_ ? kRecordDelay : std::max(kRecordDelay, warm_up_->duration);
  state.may_be_cold = endpoint.HasFailedWithin(doubt, now);
  return state;
}

bool endpoint_pool::IsLimited(const coldness& state, bool also_avoided) const {
  return state.is_cold || (state.may_be_cold && !also_avoided);
}

double endpoint_pool::ColdPart(const endpoint_estimate& endpoint,
                               steady_time now) const {
  return warm_up_limit_->PartOf(DigestOf(endpoint.record().id).value(), now);
}

std::chrono::microseconds endpoint_pool::ColdWait(endpoint_estimate& endpoint,
                                                  const coldness& state,
                                                  steady_time now) {
  const std::chrono::microseconds until_warm =
      std::chrono::duration_cast<std::chrono::microseconds>(state.until - now);
  const auto own = endpoint.warm_up().Wait(ColdPart(endpoint, now), now);
  return std::min(own.value_or(until_warm), until_warm);
}

std::size_t endpoint_pool::CountCold(steady_time now) const {
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [this, now](const auto& entry) {
        return entry.second->IsServing() &&
               ColdnessOf(*entry.second, now).is_cold;
      }));
}

}  // namespace marjoramsill
