#include "process/daemon/steady_clock.h"

#include <chrono>
#include <random>

namespace marjoramsill {

steady_time SteadyNow() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return steady_time(
      std::chrono::duration_cast<std::chrono::microseconds>(since_start));
}

random_source SystemRandom() {
  return [] {
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
  };
}

}  // namespace marjoramsill
