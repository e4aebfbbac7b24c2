#include "process/daemon/steady_clock.h"

#include <chrono>
#include <random>

namespace marjoramsill {

steady_time SteadyNow() {
  // CLOCK_MONOTONIC stops while a machine is suspended, so that a suspended
  // holder would treat an expired lease as valid. CLOCK_BOOTTIME includes the
  // time of suspension.
  timespec since_boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return steady_time(std::chrono::seconds(since_boot.tv_sec) +
                     std::chrono::duration_cast<std::chrono::microseconds>(
                         std::chrono::nanoseconds(since_boot.tv_nsec)));
}

random_source SystemRandom() {
  return [] {
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
  };
}

}  // namespace marjoramsill
