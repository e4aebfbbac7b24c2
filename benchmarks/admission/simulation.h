#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "types/rank.h"

namespace marjoramsill {

/// Poisson arrivals over all entry VMs.
struct load {
  marjoramsill::rank rank;
  /// Workspaces first to first + count - 1, with equal parts.
  std::uint64_t first_workspace;
  std::uint64_t count;
  /// Offered cost as a multiple of the capacity.
  double part;
  double from_s;
  double to_s;
};

/// Times in seconds.
struct simulated_request {
  marjoramsill::rank rank;
  std::uint64_t workspace;
  double arrival;
  double cost;
  double wait = 0;
  double first_token = 0;
  /// Time of its rejection, or of its end when it ran.
  double end = 0;
  bool admitted = false;
  /// Ended in time, with its first token within the rank's target.
  bool good = false;
};

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

/// Cost per second of the whole fake capacity.
double Capacity(const simulation_settings& settings);

/// Runs in virtual time; the same seed gives the same arrivals for every
/// scheduler.
std::vector<simulated_request> Simulate(const simulation_settings& settings,
                                        const std::string& scheduler_name,
                                        const std::vector<load>& loads);

double Percentile(std::vector<double> values, double part);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_H_
