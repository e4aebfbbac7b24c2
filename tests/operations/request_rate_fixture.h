#ifndef MARJORAMSILL_TESTS_OPERATIONS_REQUEST_RATE_FIXTURE_H_
#define MARJORAMSILL_TESTS_OPERATIONS_REQUEST_RATE_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

#include "fleet_fixture.h"

namespace marjoramsill {

/// Entry processes under a steady load, in front of endpoints of which the
/// first ones take a bounded rate of requests.
class request_rate_fixture : public fleet_fixture {
 protected:
  using clock_time = std::chrono::steady_clock::time_point;

  struct counts {
    int sent = 0;
    int served = 0;
  };

  static constexpr std::size_t kEntries = 6;
  static constexpr std::size_t kEndpoints = 4;
  /// Endpoints that take a bounded rate.
  static constexpr std::size_t kBounded = 2;

  /// `interval`: time between two requests. `seed`: chooses their entry VMs.
  request_rate_fixture(std::chrono::milliseconds interval, std::uint64_t seed);

  /// Settings for the number of processes and endpoints of this fixture.
  static soak::soak_settings Settings(std::uint16_t port);
  /// Sends requests for this time and waits for their responses.
  counts Play(std::chrono::milliseconds duration);
  /// Most requests that an endpoint of a bounded rate got in a window after
  /// `from`.
  std::size_t MostInWindow(std::chrono::milliseconds window,
                           clock_time from) const;
  /// Kills the process and starts it again.
  void Restart(soak::soak_node& node);
  /// Restarts three control and three entry processes one after the other,
  /// under load.
  void PlayRestarts();

 private:
  const std::chrono::milliseconds interval_;
  std::mt19937_64 random_;
  int number_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_REQUEST_RATE_FIXTURE_H_
