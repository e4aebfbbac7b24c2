#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SETTINGS_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SETTINGS_H_

#include <chrono>
#include <cstddef>

namespace marjoramsill {

/// Timing and bounds of the protocol that shares workspace limits.
struct limit_settings {
  /// A VM that uses less than this fraction of its fixed share, both in running
  /// requests and in tokens of its bucket, exchanges no messages.
  double lease_threshold = 0.5;
  /// How long a request may wait for the allocator's response.
  std::chrono::microseconds share_wait_timeout = std::chrono::milliseconds(250);
  /// After this time without a response, the next candidate allocator is tried.
  std::chrono::microseconds request_timeout = std::chrono::milliseconds(100);
  /// Duration of a share lease, the right of a VM to use a granted share.
  std::chrono::microseconds share_lease = std::chrono::seconds(4);
  /// Duration of an allocator lease, the right of a VM to grant share leases.
  /// Longer than `share_lease`, because no share lease extends beyond the
  /// allocator lease.
  std::chrono::microseconds allocator_lease = std::chrono::seconds(10);
  /// Maximum run time of an accepted request.
  std::chrono::microseconds max_request_duration = std::chrono::seconds(120);
  /// Longer than a change of the VM list takes to reach every VM, plus the
  /// allocator lease.
  std::chrono::microseconds fleet_settle_time = std::chrono::seconds(30);
  /// Size of a token bucket, as time at its rate. With 1 s, the demand of a few
  /// requests per second on each of 330 VMs varies so much that 12% of the
  /// requests are refused at 0.9 of the limit; with 4 s, 0.5% are refused
  /// (benchmark scenario wide_demand).
  std::chrono::microseconds burst = std::chrono::seconds(4);
  /// Maximum bytes per second of limit messages that this VM sends.
  double bytes_per_second = 1000;
  /// Maximum number of requests per workspace that wait for a share on this VM.
  /// Others are refused.
  std::size_t max_waiting_per_workspace = 256;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_SETTINGS_H_
