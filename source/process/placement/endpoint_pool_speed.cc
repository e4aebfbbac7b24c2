#include <algorithm>
#include <chrono>

#include "process/placement/endpoint_pool.h"

// The estimated speed of the endpoints of a pool.

namespace marjoramsill {
namespace {

/// Estimates are compared with the pool at this interval at most. An entry VM
/// has a fraction of a core for several hundred choices per second.
constexpr std::chrono::milliseconds kUpdateInterval{10};

}  // namespace

bool endpoint_pool::EstimatesSpeed(steady_time now) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [now](const auto& entry) {
                       return entry.second->speed().HasRecentFigure(now);
                     });
}

void endpoint_pool::UpdateSpeeds(steady_time now) {
  if (speeds_updated_at_ && now - *speeds_updated_at_ < kUpdateInterval) return;
  speeds_updated_at_ = now;
  uses_speed_ = EstimatesSpeed(now);
  if (!uses_speed_) return;
  double total = 0;
  double weight = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsServing()) continue;
    const double confidence = endpoint->speed().Confidence(now);
    total += confidence * endpoint->speed().LogDuration(now);
    weight += confidence;
  }
  const double mean = weight > 0 ? total / weight : 0;
  for (const auto& [id, endpoint] : endpoints_) {
    speed_estimate& speed = endpoint->speed();
    // An endpoint with little evidence counts as average.
    speed.Follow(speed.Confidence(now) * (speed.LogDuration(now) - mean), now);
  }
}

double endpoint_pool::DurationFactor(const endpoint_estimate& endpoint) const {
  return uses_speed_ ? endpoint.speed().factor() : 1;
}

double endpoint_pool::SpeedShare(const candidate& each) {
  return 1 / std::max(1.0, each.duration_factor);
}

}  // namespace marjoramsill
