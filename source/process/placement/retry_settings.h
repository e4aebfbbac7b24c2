#ifndef MARJORAMSILL_PROCESS_PLACEMENT_RETRY_SETTINGS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_RETRY_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

/// Retry budget of the whole fleet for one pool.
struct retry_settings {
  std::chrono::milliseconds window{10'000};
  /// Retries allowed in a window, as a share of the requests in it.
  double ratio = 0.2;
  /// Retries allowed in a window in addition to that share.
  double allowance = 52;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_RETRY_SETTINGS_H_
