#include "process/admission/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace marjoramsill {
namespace {

// Long against one service time, short against a flood.
constexpr double kMeasureSeconds = 10;
// A flood changes the split between ranks within seconds. Over a shorter time
// the estimate for a lower rank varies so much that it rejects needlessly.
constexpr double kAdmittedSeconds = 5;
// Below this the first admissions after a pause would look like a high rate.
constexpr double kMinAdmittedSeconds = 0.25;

double Seconds(std::chrono::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

double DecayFactor(double passed, double time) {
  const double x = passed / time;
  // exp() takes a good part of an admission's time; the error is below 1e-6.
  return x < 0.01 ? 1 - x + x * x / 2 : std::exp(-x);
}

double ServiceSeconds(std::chrono::microseconds service) {
  // A caller that knows no service time must not divide by 0.
  return std::max(Seconds(service), 1e-3);
}

}  // namespace

void drain_rate::Observe(steady_time now, bool saturated, double used) {
  const double passed = last_ && now > *last_ ? Seconds(now - *last_) : 0;
  last_ = std::max(now, last_.value_or(now));
  saturated_ = saturated;
  if (passed > 0) Decay(passed);
  if (!saturated) {
    saturated_for_ = 0;
    measuring_ = false;
    return;
  }
  saturated_for_ += passed;
  if (measuring_ && passed > 0) {
    const double kept = DecayFactor(passed, kMeasureSeconds);
    ended_cost_ *= kept;
    used_seconds_ = used_seconds_ * kept + used * passed;
  }
  // During the first service time of a flood that starts on idle capacity
  // nothing ends, which would look like a rate of 0.
  if (saturated_for_ >= MeanService()) measuring_ = true;
}

void drain_rate::Decay(double passed) {
  const double kept = DecayFactor(passed, kAdmittedSeconds);
  for (double& cost : admitted_cost_) cost *= kept;
  admitted_seconds_ = admitted_seconds_ * kept + passed;
}

void drain_rate::Started(rank of, double cost,
                         std::chrono::microseconds service) {
  const double seconds = ServiceSeconds(service);
  expected_rate_ += cost / seconds;
  expected_seconds_ += seconds;
  ++running_;
  // Idle capacity that fills up is no lasting claim of this rank.
  if (saturated_) admitted_cost_.at(static_cast<std::size_t>(of)) += cost;
}

void drain_rate::Ended(double used, double cost,
                       std::chrono::microseconds service) {
  const double seconds = ServiceSeconds(service);
  expected_rate_ = std::max(0.0, expected_rate_ - cost / seconds);
  expected_seconds_ = std::max(0.0, expected_seconds_ - seconds);
  --running_;
  if (measuring_) ended_cost_ += used;
}

std::optional<double> drain_rate::Total(double used) const {
  if (used <= 0) return std::nullopt;
  if (ended_cost_ > 0 && used_seconds_ >= used * MeanService()) {
    return used * ended_cost_ / used_seconds_;
  }
  if (running_ > 0) return expected_rate_;
  return std::nullopt;
}

double drain_rate::Admitted(rank of) const {
  return admitted_cost_.at(static_cast<std::size_t>(of)) /
         std::max(admitted_seconds_, kMinAdmittedSeconds);
}

double drain_rate::MeanService() const {
  return running_ > 0 ? expected_seconds_ / running_ : 0;
}

}  // namespace marjoramsill
