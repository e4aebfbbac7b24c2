#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_H_

#include <chrono>

#include "types/steady_time.h"

namespace marjoramsill {

struct flap_damper_settings {
  std::chrono::milliseconds first_hold{1000};
  std::chrono::milliseconds longest_hold{60000};
  /// Time without a return after which the hold-down starts small again.
  std::chrono::milliseconds forget_after{300000};
};

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
