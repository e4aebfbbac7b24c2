#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SETTINGS_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SETTINGS_H_

#include <chrono>
#include <cstddef>

namespace marjoramsill {

struct limit_settings {
  /// A VM that uses less than this part of its own fixed share, as running
  /// requests and as tokens of its bucket, exchanges nothing.
  double engage_fraction = 0.5;
  /// How long a request may wait for an answer of the allocator.
  std::chrono::microseconds borrow_timeout = std::chrono::milliseconds(250);
  /// After this time without an answer the next candidate is asked.
  std::chrono::microseconds ask_timeout = std::chrono::milliseconds(100);
  std::chrono::microseconds lease = std::chrono::seconds(4);
  /// Longer than the lease: an allocator grants no lease beyond its licence.
  std::chrono::microseconds licence = std::chrono::seconds(10);
  /// Longest time that an accepted request may run.
  std::chrono::microseconds longest_request = std::chrono::seconds(120);
  /// Longer than a change of the list of VMs needs to reach every VM, plus the
  /// licence.
  std::chrono::microseconds fleet_settle = std::chrono::seconds(30);
  /// Size of a token bucket, as time at its rate. With 1 s, a demand of a few
  /// requests a second on each of 330 VMs varies so much that 12% are refused
  /// at 0.9 of the limit; with 4 s 0.5% are (benchmark scenario wide_demand).
  std::chrono::microseconds burst = std::chrono::seconds(4);
  /// Bound of the bytes per second that this VM sends for limits.
  double bytes_per_second = 1000;
  std::size_t max_waiting_per_workspace = 256;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SETTINGS_H_
