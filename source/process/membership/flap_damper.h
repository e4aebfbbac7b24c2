#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_H_

#include <chrono>

#include "process/membership/flap_damper_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Holds down an endpoint that restarts or returns, as in route flap damping:
/// each return within reset_after of the previous one doubles the time until
/// the endpoint gets work again. The first appearance is not held down.
class flap_damper {
 public:
  explicit flap_damper(const flap_damper_settings& settings = {});

  /// Records that the endpoint restarted or announces itself again.
  void OnReturn(steady_time now);
  bool IsHeld(steady_time now) const { return now < held_until_; }
  steady_time held_until() const { return held_until_; }

 private:
  flap_damper_settings settings_;
  std::chrono::milliseconds next_hold_;
  steady_time last_return_{};
  steady_time held_until_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_H_
