#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SIMULATION_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SIMULATION_H_

#include <string>

#include "choice_figures.h"
#include "choice_scenario.h"

namespace marjoramsill {

/// Runs one policy on all routers. The policy "ideal" is a single router that
/// knows the actual caches and loads.
choice_figures RunChoice(const choice_scenario& scenario,
                         const std::string& policy);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_CHOICE_SIMULATION_H_
