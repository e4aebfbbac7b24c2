#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_SETTINGS_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

struct flap_damper_settings {
  /// Hold-down after the first return; doubles up to max_hold.
  std::chrono::milliseconds initial_hold{1000};
  std::chrono::milliseconds max_hold{60000};
  /// Time without a return after which the hold-down starts at initial_hold
  /// again.
  std::chrono::milliseconds reset_after{300000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_SETTINGS_H_
