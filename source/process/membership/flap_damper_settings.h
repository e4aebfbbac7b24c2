#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_SETTINGS_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

struct flap_damper_settings {
  std::chrono::milliseconds first_hold{1000};
  std::chrono::milliseconds longest_hold{60000};
  /// Time without a return after which the hold-down starts small again.
  std::chrono::milliseconds forget_after{300000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_FLAP_DAMPER_SETTINGS_H_
