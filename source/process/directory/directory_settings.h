#ifndef MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_SETTINGS_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

/// Time bounds of an endpoint_directory.
struct directory_settings {
  /// Without a heartbeat for this long an endpoint counts as silent. Three
  /// intervals, so that one lost or late heartbeat changes nothing.
  std::chrono::milliseconds silent_after{3'600};
  /// A silent endpoint is forgotten after this time.
  std::chrono::milliseconds forget_silent_after{60'000};
  /// How long a record of an ended endpoint guards against late heartbeats.
  std::chrono::milliseconds forget_gone_after{120'000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_SETTINGS_H_
