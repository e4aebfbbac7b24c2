#ifndef MARJORAMSILL_PROCESS_DAEMON_STEADY_CLOCK_H_
#define MARJORAMSILL_PROCESS_DAEMON_STEADY_CLOCK_H_

#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Time since boot of this VM, including suspension.
steady_time SteadyNow();

/// Returns a source of random numbers with one generator per thread, seeded by
/// the system.
random_source SystemRandom();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_STEADY_CLOCK_H_
