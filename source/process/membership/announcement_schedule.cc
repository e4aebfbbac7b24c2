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
  if (regular_ < settings_.min_regular || !responded_) {
    regular_ = regular ? regular_ + 1 : 0;
    if (!regular) responded_ = false;
    lateness_ = std::chrono::microseconds(0);
    if (regular_ < settings_.min_regular || !responded_) return std::nullopt;
    return now;
  }
  lateness_ = std::max(std::chrono::microseconds(0), lateness_ + deviation);
  if (lateness_ > settings_.max_lateness) {
    Reset();
    last_ = now;
    return std::nullopt;
  }
  return now - lateness_;
}

void announcement_schedule::OnDirectResponse(steady_time sent_at,
                                             steady_time now) {
  if (!last_.has_value() || sent_at < *last_) return;
  if (now - sent_at > settings_.max_lateness) return;
  responded_ = true;
  // Keeps a small constant drift of the endpoint's interval from accumulating.
  if (lateness_ <= settings_.tolerance) {
    lateness_ = std::chrono::microseconds(0);
  }
}

void announcement_schedule::Reset() {
  last_.reset();
  regular_ = 0;
  responded_ = false;
  lateness_ = std::chrono::microseconds(0);
}

}  // namespace marjoramsill
