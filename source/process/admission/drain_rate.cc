#include "process/admission/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace marjoramsill {
namespace {

// Long compared with one service time, short compared with a flood.
constexpr double kMeasureWindowSeconds = 10;
// A flood changes the split between ranks within seconds. With a shorter window
// the estimate for a lower rank varies so much that requests are rejected
// needlessly.
constexpr double kAdmittedWindowSeconds = 5;
// With a smaller divisor, the first admissions after a pause would look like a
// high rate.
constexpr double kMinAdmittedWindowSeconds = 0.25;

double Seconds(std::chrono::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

double DecayFactor(double elapsed, double time) {
  const double x = elapsed / time;
  // Avoids exp(), which takes a considerable part of the time of an admission.
  // The error is below 1e-6.
  return x < 0.01 ? 1 - x + x * x / 2 : std::exp(-x);
}

double ServiceSeconds(std::chrono::microseconds service) {
  // Prevents a division by 0 if the caller does not know the service time.
  return std::max(Seconds(service), 1e-3);
}

}  // namespace

void drain_rate::Observe(steady_time now, bool saturated, double used) {
  const double elapsed = last_observed_ && now > *last_observed_
                             ? Seconds(now - *last_observed_)
                             : 0;
  last_observed_ = std::max(now, last_observed_.value_or(now));
  saturated_ = saturated;
  if (elapsed > 0) Decay(elapsed);
  if (!saturated) {
    saturated_seconds_ = 0;
    measuring_ = false;
    return;
  }
  saturated_seconds_ += elapsed;
  if (measuring_ && elapsed > 0) {
    const double decay = DecayFactor(elapsed, kMeasureWindowSeconds);
    ended_cost_ *= decay;
    used_cost_seconds_ = used_cost_seconds_ * decay + used * elapsed;
  }
  // No request ends during the first service time of a flood that starts on
  // idle capacity; measuring then would give a rate of 0.
  if (saturated_seconds_ >= MeanService()) measuring_ = true;
}

void drain_rate::Decay(double elapsed) {
  const double decay = DecayFactor(elapsed, kAdmittedWindowSeconds);
  for (double& cost : admitted_cost_) cost *= decay;
  admitted_seconds_ = admitted_seconds_ * decay + elapsed;
}

void drain_rate::OnStarted(rank own_rank, double cost,
                           std::chrono::microseconds service) {
  const double seconds = ServiceSeconds(service);
  expected_rate_ += cost / seconds;
  expected_seconds_ += seconds;
  ++running_;
  // Admissions into idle capacity say nothing about the rank's rate under load.
  if (saturated_) admitted_cost_.at(static_cast<std::size_t>(own_rank)) += cost;
}

void drain_rate::OnEnded(double used, double cost,
                         std::chrono::microseconds service) {
  const double seconds = ServiceSeconds(service);
  expected_rate_ = std::max(0.0, expected_rate_ - cost / seconds);
  expected_seconds_ = std::max(0.0, expected_seconds_ - seconds);
  --running_;
  if (measuring_) ended_cost_ += used;
}

std::optional<double> drain_rate::TotalRate(double used) const {
  if (used <= 0) return std::nullopt;
  if (ended_cost_ > 0 && used_cost_seconds_ >= used * MeanService()) {
    return used * ended_cost_ / used_cost_seconds_;
  }
  if (running_ > 0) return expected_rate_;
  return std::nullopt;
}

double drain_rate::Admitted(rank own_rank) const {
  return admitted_cost_.at(static_cast<std::size_t>(own_rank)) /
         std::max(admitted_seconds_, kMinAdmittedWindowSeconds);
}

double drain_rate::MeanService() const {
  return running_ > 0 ? expected_seconds_ / running_ : 0;
}

}  // namespace marjoramsill
