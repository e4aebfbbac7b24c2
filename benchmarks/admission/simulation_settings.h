#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_SETTINGS_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_SETTINGS_H_

#include <array>
#include <cstdint>

namespace marjoramsill {

/// Parameters of the admission simulation.
struct simulation_settings {
  std::size_t vms = 6;
  std::uint32_t slots_per_vm = 40;
  double duration_s = 90;
  std::uint64_t seed = 1;
  /// Cost per second of one slot. The mean cost of a request is 500.
  double slot_rate = 500;
  /// Time from the start of a request to its first token: a fixed time plus a
  /// fraction of the service time.
  double first_token_fixed_s = 0.2;
  double first_token_fraction = 0.1;
  /// Maximum time to the first token, by rank.
  std::array<double, 3> first_token_target_s = {1, 5, 60};
  /// Maximum time to completion, by rank.
  std::array<double, 3> deadline_s = {5, 20, 60};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_SETTINGS_H_
