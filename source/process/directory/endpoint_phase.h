#ifndef MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_PHASE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_PHASE_H_

#include <cstdint>

namespace marjoramsill {

/// Phase in the lifetime of one incarnation of an endpoint, as known
/// from its heartbeats. The numbers are sent to other processes.
enum class endpoint_phase : std::uint8_t {
  kReady = 0,
  /// No recent heartbeat: the endpoint may be down, or disconnected from the
  /// control processes.
  kSilent = 1,
  /// The endpoint has announced that it is about to end.
  kLeaving = 2,
  /// The endpoint has ended. Its record stays for some time, so that late
  /// heartbeats are recognised.
  kEnded = 3,
};

inline bool IsLeavingOrEnded(endpoint_phase phase) {
  return phase == endpoint_phase::kLeaving || phase == endpoint_phase::kEnded;
}

inline const char* EndpointPhaseText(endpoint_phase phase) {
  switch (phase) {
    case endpoint_phase::kReady:
      return "ready";
    case endpoint_phase::kSilent:
      return "silent";
    case endpoint_phase::kLeaving:
      return "leaving";
    case endpoint_phase::kEnded:
      return "gone";
  }
  return "unknown";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_PHASE_H_
