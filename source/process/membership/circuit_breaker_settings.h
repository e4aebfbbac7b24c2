#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_SETTINGS_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace marjoramsill {

struct circuit_breaker_settings {
  /// Consecutive failures that open the circuit.
  std::uint32_t failures = 3;
  std::chrono::milliseconds first_wait{1000};
  /// The wait doubles with every failed trial up to this limit.
  std::chrono::milliseconds longest_wait{30000};
  /// A trial without a result for this time is given up as failed.
  std::chrono::milliseconds trial_limit{10000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_CIRCUIT_BREAKER_SETTINGS_H_
