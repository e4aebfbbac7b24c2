#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_SETTINGS_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_SETTINGS_H_

#include <array>
#include <cstdint>

namespace marjoramsill {

struct simulation_settings {
  std::size_t vms = 6;
  std::uint32_t slots_per_vm = 40;
  double duration_s = 90;
  std::uint64_t seed = 1;
  /// Cost per second of one slot. The mean cost of a request is 500.
  double slot_rate = 500;
  /// Time of an engine to the first token, besides the wait: fixed part, and
  /// part of the service time.
  double first_token_fixed_s = 0.2;
  double first_token_part = 0.1;
  std::array<double, 3> first_token_target_s = {1, 5, 60};
  std::array<double, 3> deadline_s = {5, 20, 60};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_SETTINGS_H_
