#include "process/placement/speed_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace marjoramsill {
namespace {

/// A stated figure counts in full when it is new and not at all after this
/// time, since slow phases last about 0.6 s.
constexpr double kFigureLifeMs = 600;
/// Time constant of the mean of the stated figures, and of forgetting it.
constexpr double kMeanTimeMs = 2'000;
/// A pool counts as stating figures for this time after the last one.
constexpr std::chrono::milliseconds kFigureMemory{5'000};
constexpr double kPercent = 100;
/// Limits of the estimate: a quarter and four times the usual duration. A
/// greater ratio would change no choice.
const double kMaxLogDuration = std::log(4.0);
/// The applied factor approaches the estimate with this time constant.
constexpr double kFollowTimeMs = 60;
/// Longest time that counts in one step of the applied factor.
constexpr double kMaxStepTimeMs = 100;
/// Greatest change of the applied factor in one step: half or twice. All entry
/// VMs that receive the same report move by the same limited amount.
const double kMaxLogStep = std::log(2.0);
/// Smaller differences (5%) do not change the applied factor.
constexpr double kMinLogChange = 0.05;

}  // namespace

void speed_estimate::RecordStated(std::uint32_t duration_percent,
                                  steady_time measured_at) {
  if (duration_percent == 0) return;
  if (stated_at_ && measured_at < *stated_at_) return;
  const double stated = std::clamp(std::log(duration_percent / kPercent),
                                   -kMaxLogDuration, kMaxLogDuration);
  const double since =
      stated_at_ ? MillisOf(measured_at - *stated_at_) : kFigureLifeMs;
  log_mean_ += (1 - std::exp(-since / kMeanTimeMs)) * (stated - log_mean_);
  log_stated_ = stated;
  stated_at_ = measured_at;
}

bool speed_estimate::HasRecentFigure(steady_time now) const {
  return stated_at_ && now - *stated_at_ <= kFigureMemory;
}

double speed_estimate::LogStated(steady_time now) const {
  if (!stated_at_) return 0;
  const double age = std::max(0.0, MillisOf(now - *stated_at_));
  const double weight = std::max(0.0, 1 - age / kFigureLifeMs);
  return weight * log_stated_ + (1 - weight) * log_mean_;
}

double speed_estimate::Confidence(steady_time now) const {
  if (!stated_at_) return 0;
  const double age = std::max(0.0, MillisOf(now - *stated_at_));
  return age <= kFigureLifeMs ? 1
                              : std::exp(-(age - kFigureLifeMs) / kMeanTimeMs);
}

void speed_estimate::Follow(double log_target, steady_time now) {
  const double since =
      followed_at_ ? std::min(MillisOf(now - *followed_at_), kMaxStepTimeMs)
                   : kMaxStepTimeMs;
  followed_at_ = now;
  const double change = log_target - log_factor_;
  if (std::abs(change) < kMinLogChange) return;
  const double step = (1 - std::exp(-since / kFollowTimeMs)) * change;
  log_factor_ += std::clamp(step, -kMaxLogStep, kMaxLogStep);
  factor_ = std::exp(log_factor_);
}

}  // namespace marjoramsill
