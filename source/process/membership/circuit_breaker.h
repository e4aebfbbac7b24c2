#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_H_

#include <chrono>
#include <cstdint>

#include "process/membership/circuit_breaker_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Avoids an endpoint after consecutive failures; lets one trial request at a
/// time through when the wait has passed.
class circuit_breaker {
 public:
  enum class state : std::uint8_t { kClosed, kOpen, kTrial };

  explicit circuit_breaker(const circuit_breaker_settings& settings = {});

  /// True when a request may be sent; an open circuit whose wait has passed
  /// admits one request and counts it as the trial.
  bool Admit(steady_time now);
  /// As Admit(), but starts no trial.
  bool WouldAdmit(steady_time now) const;
  void OnSuccess();
  void OnFailure(steady_time now);

  state current() const { return state_; }

 private:
  void Open(steady_time now);

  circuit_breaker_settings settings_;
  state state_ = state::kClosed;
  std::uint32_t failures_ = 0;
  std::chrono::milliseconds wait_;
  steady_time until_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_H_
