#include "process/placement/duration_evidence.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace marjoramsill {
namespace {

/// A single duration counts as a quarter to four times the usual one: a request
/// may have waited behind a long prompt.
const double kMaxLogRatio = std::log(4.0);
/// Time constant of forgetting.
constexpr double kForgetTimeMs = 1'300;
/// Measurements whose weight is that of the assumption that the endpoint is
/// average.
constexpr double kPriorWeight = 6;
/// Scatter of the logarithm of a single duration: some requests wait behind a
/// long prompt. Means that differ by no more than their scatter would move
/// requests between equal endpoints.
constexpr double kScatter = 0.5;
/// Most measurements in one sample of another VM.
constexpr std::uint32_t kMaxCount = std::numeric_limits<std::uint8_t>::max();
/// Greatest weight that one sample may have. A VM with many streams at an
/// endpoint measures the same slow moment many times.
constexpr std::uint32_t kMaxSampleWeight = 8;

}  // namespace

void duration_evidence::Add(double log_ratio, steady_time now) {
  const double bounded = std::clamp(log_ratio, -kMaxLogRatio, kMaxLogRatio);
  AddWeighted(bounded, 1, now);
  measured_at_ = now;
  unshared_total_ += bounded;
  ++unshared_count_;
}

void duration_evidence::AddSample(const duration_sample& sample,
                                  steady_time now) {
  if (sample.count == 0 || sample.tag == last_tag_) return;
  last_tag_ = sample.tag;
  const double log_ratio = sample.log_ratio / duration_sample::kScale;
  AddWeighted(std::clamp(log_ratio, -kMaxLogRatio, kMaxLogRatio),
              std::min<std::uint32_t>(sample.count, kMaxSampleWeight), now);
}

std::optional<duration_sample> duration_evidence::TakeSample(steady_time now) {
  if (unshared_count_ == 0) return std::nullopt;
  duration_sample sample;
  sample.log_ratio = static_cast<std::int8_t>(
      std::lround(unshared_total_ / unshared_count_ * duration_sample::kScale));
  sample.count =
      static_cast<std::uint8_t>(std::min(unshared_count_, kMaxCount));
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      now.time_since_epoch());
  sample.tag = static_cast<std::uint16_t>(micros.count());
  if (sample.tag == last_tag_) ++sample.tag;
  last_tag_ = sample.tag;
  unshared_total_ = 0;
  unshared_count_ = 0;
  return sample;
}

double duration_evidence::Weight(steady_time now) const {
  const double age = std::max(0.0, MillisOf(now - added_at_));
  return weight_ * std::exp(-age / kForgetTimeMs);
}

double duration_evidence::LogRatio(steady_time now) const {
  const double weight = Weight(now);
  if (weight <= 0) return 0;
  const double beyond_scatter =
      std::max(0.0, std::abs(mean_) - kScatter / std::sqrt(weight));
  return std::copysign(beyond_scatter, mean_) * weight /
         (weight + kPriorWeight);
}

void duration_evidence::AddWeighted(double log_ratio, double weight,
                                    steady_time now) {
  weight_ = Weight(now) + weight;
  added_at_ = now;
  mean_ += weight / weight_ * (log_ratio - mean_);
}

}  // namespace marjoramsill
