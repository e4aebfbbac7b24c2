#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_SETTINGS_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace marjoramsill {

struct circuit_breaker_settings {
  /// Consecutive failures that open the circuit.
  std::uint32_t failure_threshold = 3;
  /// Waiting time before the first trial request.
  std::chrono::milliseconds initial_wait{1000};
  /// The waiting time doubles with every failed trial up to this limit.
  std::chrono::milliseconds max_wait{30000};
  /// A trial without a result after this time is replaced by a new one.
  std::chrono::milliseconds trial_timeout{10000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_SETTINGS_H_
