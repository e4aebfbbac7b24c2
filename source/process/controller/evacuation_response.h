#ifndef MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_RESPONSE_H_

#include <cstdint>

namespace marjoramsill {

/// The leader's response to a forwarded_evacuation.
struct evacuation_response {
  enum class kind : std::uint8_t {
    kUnknown,
    kAcknowledged,
    kFull,
    /// The set has changed after forwarded_evacuation::known_change. The order
    /// may be one that was delayed on the way until it had been withdrawn. The
    /// sender repeats it with `change` if its caller still waits.
    kBehind,
  };
  kind outcome = kind::kUnknown;
  /// Change number of the leader's set.
  std::uint64_t change = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_RESPONSE_H_
