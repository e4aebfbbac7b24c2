#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_H_

#include <chrono>

#include "process/membership/flap_damper_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Holds a returning endpoint down: each return within forget_after doubles
/// the time until it gets work again. The first appearance is not held.
class flap_damper {
 public:
  explicit flap_damper(const flap_damper_settings& settings = {});

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
