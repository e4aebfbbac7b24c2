#ifndef MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_PHASE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_PHASE_H_

#include <cstdint>

namespace marjoramsill {

/// How far the life of an endpoint has gone, as far as it was heard.
enum class endpoint_phase : std::uint8_t {
  kReady = 0,
  /// No heartbeat for some time. It may be down, or cut off from control.
  kSilent = 1,
  /// It has announced that it leaves.
  kLeaving = 2,
  /// It has ended. The record stays, so that a late heartbeat is recognised.
  kGone = 3,
};

inline const char* EndpointPhaseText(endpoint_phase phase) {
  switch (phase) {
    case endpoint_phase::kReady:
      return "ready";
    case endpoint_phase::kSilent:
      return "silent";
    case endpoint_phase::kLeaving:
      return "leaving";
    case endpoint_phase::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_PHASE_H_
