#ifndef MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_SETTINGS_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_SETTINGS_H_

#include <chrono>

namespace marjoramsill {

/// Timeouts of an endpoint_directory.
struct directory_settings {
  /// An endpoint without a heartbeat for this time becomes silent. Three
  /// heartbeat intervals, so that one lost or late heartbeat has no effect.
  std::chrono::milliseconds silent_after{3'600};
  /// A silent endpoint is removed this long after its last heartbeat.
  std::chrono::milliseconds remove_silent_after{60'000};
  /// The record of a leaving or ended endpoint is kept for this time, so that
  /// late heartbeats are recognised and ignored.
  std::chrono::milliseconds remove_ended_after{120'000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_DIRECTORY_SETTINGS_H_
