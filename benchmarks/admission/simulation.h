#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_H_

#include <string>
#include <vector>

#include "load.h"
#include "simulated_request.h"
#include "simulation_settings.h"

namespace marjoramsill {

/// Total simulated capacity in cost per second.
double Capacity(const simulation_settings& settings);

/// Runs in virtual time; the same seed gives the same arrivals for every
/// scheduler.
std::vector<simulated_request> Simulate(const simulation_settings& settings,
                                        const std::string& scheduler_name,
                                        const std::vector<load>& loads);

double Percentile(std::vector<double> values, double fraction);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_SIMULATION_H_
