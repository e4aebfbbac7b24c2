#include "process/membership/announcement_schedule.h"

#include <algorithm>

namespace marjoramsill {

announcement_schedule::announcement_schedule(
    const announcement_schedule_settings& settings)
    : settings_(settings) {}

std::optional<steady_time> announcement_schedule::OnAnnouncement(
    steady_time now) {
  const auto deviation = last_.has_value() ? now - *last_ - settings_.interval
                                           : std::chrono::microseconds::max();
  const bool regular =
      deviation <= settings_.tolerance && deviation >= -settings_.tolerance;
  last_ = now;
  if (regular_ < settings_.regular_needed || !answered_) {
    regular_ = regular ? regular_ + 1 : 0;
    if (!regular) answered_ = false;
    lateness_ = std::chrono::microseconds(0);
    if (regular_ < settings_.regular_needed || !answered_) return std::nullopt;
    return now;
  }
  lateness_ = std::max(std::chrono::microseconds(0), lateness_ + deviation);
  if (lateness_ > settings_.latest) {
    Reset();
    last_ = now;
    return std::nullopt;
  }
  return now - lateness_;
}

void announcement_schedule::OnDirectAnswer(steady_time sent_at,
                                           steady_time now) {
  if (!last_.has_value() || sent_at < *last_) return;
  if (now - sent_at > settings_.latest) return;
  answered_ = true;
  // A small constant drift of the endpoint's interval must not add up.
  if (lateness_ <= settings_.tolerance) {
    lateness_ = std::chrono::microseconds(0);
  }
}

void announcement_schedule::Reset() {
  last_.reset();
  regular_ = 0;
  answered_ = false;
  lateness_ = std::chrono::microseconds(0);
}

}  // namespace marjoramsill
