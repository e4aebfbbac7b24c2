#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_H_

#include <chrono>
#include <cstdint>

#include "process/membership/circuit_breaker_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Stops requests to an endpoint after consecutive failures. When the waiting
/// time has passed, it admits one trial request at a time (half-open).
class circuit_breaker {
 public:
  enum class state : std::uint8_t { kClosed, kOpen, kHalfOpen };

  explicit circuit_breaker(const circuit_breaker_settings& settings = {});

  /// Returns true if a request may be sent. An open circuit whose waiting time
  /// has passed becomes half-open and admits the request as the trial.
  bool Admit(steady_time now);
  /// Same as Admit(), but without starting a trial.
  bool WouldAdmit(steady_time now) const;
  void OnSuccess();
  void OnFailure(steady_time now);

  state current_state() const { return state_; }

 private:
  void Open(steady_time now);

  circuit_breaker_settings settings_;
  state state_ = state::kClosed;
  std::uint32_t consecutive_failures_ = 0;
  std::chrono::milliseconds wait_;
  steady_time next_request_at_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_H_
