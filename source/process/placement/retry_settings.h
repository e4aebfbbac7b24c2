#ifndef MARJORAMSILL_PROCESS_PLACEMENT_RETRY_SETTINGS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_RETRY_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

/// Budget of the whole fleet for sending requests of one pool once more.
struct retry_settings {
  std::chrono::milliseconds window{10'000};
  /// Retries allowed in a window: this share of the window's requests ...
  double ratio = 0.2;
  /// ... plus this fixed number.
  double allowance = 52;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_RETRY_SETTINGS_H_
