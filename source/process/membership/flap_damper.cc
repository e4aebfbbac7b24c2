#include "process/membership/flap_damper.h"

#include <algorithm>

namespace marjoramsill {

flap_damper::flap_damper(const flap_damper_settings& settings)
    : settings_(settings), next_hold_(settings.initial_hold) {}

void flap_damper::OnReturn(steady_time now) {
  if (now - last_return_ > settings_.reset_after) {
    next_hold_ = settings_.initial_hold;
  }
  last_return_ = now;
  held_until_ = now + next_hold_;
  next_hold_ = std::min(next_hold_ * 2, settings_.max_hold);
}

}  // namespace marjoramsill
