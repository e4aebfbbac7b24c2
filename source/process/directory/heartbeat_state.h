#ifndef MARJORAMSILL_PROCESS_DIRECTORY_HEARTBEAT_STATE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_HEARTBEAT_STATE_H_

#include <cstdint>

namespace marjoramsill {

/// What one control process received from an incarnation of an endpoint since a
/// given moment. The numbers are sent to other processes.
enum class heartbeat_state : std::uint8_t {
  /// Its heartbeats go to another process, or none of its failure domain has
  /// arrived since.
  kUnknown = 0,
  /// A heartbeat arrived.
  kContinues = 1,
  /// None arrived, although others of its failure domain did, or the
  /// incarnation has ended.
  kStopped = 2,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_HEARTBEAT_STATE_H_
