#ifndef MARJORAMSILL_PROCESS_DAEMON_STEADY_CLOCK_H_
#define MARJORAMSILL_PROCESS_DAEMON_STEADY_CLOCK_H_

#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The steady clock of this VM, which the decision code is given.
steady_time SteadyNow();

/// Random numbers from a generator per thread, seeded by the system.
random_source SystemRandom();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_STEADY_CLOCK_H_
