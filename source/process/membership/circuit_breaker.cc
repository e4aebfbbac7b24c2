#include "process/membership/circuit_breaker.h"

#include <algorithm>

namespace marjoramsill {

circuit_breaker::circuit_breaker(const circuit_breaker_settings& settings)
    : settings_(settings), wait_(settings.first_wait) {}

bool circuit_breaker::WouldAdmit(steady_time now) const {
  return state_ == state::kClosed || now >= until_;
}

bool circuit_breaker::Admit(steady_time now) {
  if (!WouldAdmit(now)) return false;
  if (state_ != state::kClosed) {
    state_ = state::kTrial;
    until_ = now + settings_.trial_limit;
  }
  return true;
}

void circuit_breaker::OnSuccess() {
  state_ = state::kClosed;
  failures_ = 0;
  wait_ = settings_.first_wait;
}

void circuit_breaker::OnFailure(steady_time now) {
  if (state_ == state::kTrial) {
    wait_ = std::min(wait_ * 2, settings_.longest_wait);
    Open(now);
    return;
  }
  // Failures of requests sent before the circuit opened don't extend the wait.
  if (state_ == state::kOpen) return;
  if (++failures_ >= settings_.failures) Open(now);
}

void circuit_breaker::Open(steady_time now) {
  state_ = state::kOpen;
  until_ = now + wait_;
}

}  // namespace marjoramsill
