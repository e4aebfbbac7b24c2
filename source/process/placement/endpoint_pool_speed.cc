#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "process/placement/endpoint_pool.h"

// The estimated speed of the endpoints of a pool.

namespace marjoramsill {
namespace {

/// Estimates are compared with the pool at this interval at most. An entry VM
/// has a fraction of a core for several hundred choices per second.
constexpr std::chrono::milliseconds kUpdateInterval{10};
/// Work of an idle endpoint until the first event of a stream whose prompt is
/// cached, and between two events. They limit how much a small difference of
/// the load counts; the usual ratio to the measured times is estimated.
constexpr double kFirstEventMs = 25;
constexpr double kPauseMs = 10;
/// Shorter durations are below the precision of the event loop.
constexpr double kMinWorkMs = 0.5;
/// Endpoints that take this multiple of the usual duration count as slow in the
/// metrics.
constexpr double kSlowFactor = 1.5;

}  // namespace

bool endpoint_pool::EstimatesSpeed(steady_time now) const {
  if (settings_.learn_endpoint_speed) return true;
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
    total += confidence * endpoint->speed().LogStated(now);
    weight += confidence;
  }
  const double mean = weight > 0 ? total / weight : 0;
  for (const auto& [id, endpoint] : endpoints_) {
    speed_estimate& speed = endpoint->speed();
    // An endpoint with little evidence counts as average.
    const double stated = speed.Confidence(now) * (speed.LogStated(now) - mean);
    speed.Follow(stated + speed.evidence().LogRatio(now), now);
  }
}

double endpoint_pool::DurationFactor(const endpoint_estimate& endpoint) const {
  return uses_speed_ ? endpoint.speed().factor() : 1;
}

double endpoint_pool::UsualMs(const endpoint_estimate& endpoint,
                              const work_sample& sample,
                              steady_time now) const {
  const double load = endpoint.EstimatedLoad(now);
  switch (sample.kind) {
    case work_kind::kFirstEvent:
      return kFirstEventMs + sample.usual_ms;
    case work_kind::kPause:
      return kPauseMs + settings_.running_cost_ms * load;
    case work_kind::kPlain:
      break;
  }
  return std::max(1.0, load / endpoint.slots());
}

void endpoint_pool::RecordWork(endpoint_estimate& endpoint,
                               const work_sample& sample, steady_time now) {
  UpdateSpeeds(now);
  if (!uses_speed_) return;
  const double took_ms = std::max(kMinWorkMs, MillisOf(sample.took));
  speed_estimate& speed = endpoint.speed();
  // What the stated figures explain does not count twice.
  const double log_ratio = std::log(took_ms / UsualMs(endpoint, sample, now)) -
                           speed.Confidence(now) * speed.LogStated(now);
  const auto difference =
      usual_durations_.Compare(sample.kind, sample.route, log_ratio);
  if (difference) speed.evidence().Add(*difference, now);
}

std::size_t endpoint_pool::CountSlow() const {
  if (!uses_speed_) return 0;
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [](const auto& entry) {
        return entry.second->speed().factor() >= kSlowFactor;
      }));
}

double endpoint_pool::SpeedShare(const candidate& each) {
  return 1 / std::max(1.0, each.duration_factor);
}

}  // namespace marjoramsill
