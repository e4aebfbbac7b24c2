#include "process/membership/circuit_breaker.h"

#include <algorithm>

namespace marjoramsill {

circuit_breaker::circuit_breaker(const circuit_breaker_settings& settings)
    : settings_(settings), wait_(settings.initial_wait) {}

bool circuit_breaker::WouldAdmit(steady_time now) const {
  return state_ == state::kClosed || now >= next_request_at_;
}

bool circuit_breaker::Admit(steady_time now) {
  if (!WouldAdmit(now)) return false;
  if (state_ != state::kClosed) {
    state_ = state::kHalfOpen;
    next_request_at_ = now + settings_.trial_timeout;
  }
  return true;
}

void circuit_breaker::OnSuccess() {
  state_ = state::kClosed;
  consecutive_failures_ = 0;
  wait_ = settings_.initial_wait;
}

void circuit_breaker::OnFailure(steady_time now) {
  if (state_ == state::kHalfOpen) {
    wait_ = std::min(wait_ * 2, settings_.max_wait);
    Open(now);
    return;
  }
  // These requests were sent before the circuit opened; their failures don't
  // extend the waiting time.
  if (state_ == state::kOpen) return;
  if (++consecutive_failures_ >= settings_.failure_threshold) Open(now);
}

void circuit_breaker::Open(steady_time now) {
  state_ = state::kOpen;
  next_request_at_ = now + wait_;
}

}  // namespace marjoramsill
