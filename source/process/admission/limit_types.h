#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_TYPES_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "process/admission/admission_types.h"
#include "types/ids.h"

namespace marjoramsill {

/// Fleet-wide limit of one workspace, from its policy section.
struct workspace_limit {
  section_version version;
  /// Cost per second.
  double tokens_per_second = 0;
  std::uint32_t concurrent = 0;
};

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

/// kWaiting: the outcome follows as a limit_action, at the latest after
/// limit_settings::borrow_timeout.
enum class limit_decision { kAccepted, kWaiting, kRefused };

/// Outcome of a request that had to wait.
struct limit_action {
  request_handle request;
  bool accepted = false;
};

enum class limit_message_kind : std::uint8_t {
  /// Holder to allocator: demand, and what the holder will not exceed until
  /// the answer.
  kAsk,
  /// Allocator to holder: share and its duration.
  kGrant,
  /// Allocator to holder: ask again with the present demand.
  kRecall,
  /// Candidate allocator to arbiter.
  kLicenceAsk,
  /// Arbiter to candidate allocator; duration 0 means refused.
  kLicence,
};

/// One message about one workspace. Fields that a kind does not use are 0.
struct limit_message {
  limit_message_kind kind = limit_message_kind::kAsk;
  workspace_id workspace;
  /// Number of the ask that this is or answers. Grows per sender, also from one
  /// start of its process to the next (upper half: incarnation).
  std::uint64_t sequence = 0;
  workspace_limit limit;
  /// Demand of an ask, share of a grant.
  double tokens_per_second = 0;
  /// As above. Of a licence: milliseconds until concurrency that an earlier
  /// allocator gave out has certainly ended.
  std::uint32_t concurrent = 0;
  /// What the sender of an ask holds at most from now on.
  double held_tokens_per_second = 0;
  std::uint32_t held_concurrent = 0;
  /// Tokens wanted or given at once, from the part of the limit that nobody
  /// held lately.
  double burst_tokens = 0;
  /// Of an ask: unused tokens of a share that the holder gives up.
  double returned_tokens = 0;
  /// Of a grant: holders that were recalled for it. Above 0 more may follow.
  std::uint32_t recalls = 0;
  /// Of a grant or licence; the receiver counts from the time it sent the ask.
  std::uint32_t duration_ms = 0;
};

struct limit_send {
  vm_id to;
  limit_message message;
};

/// What the caller does after it has released the lock.
struct limit_actions {
  std::vector<limit_action> decided;
  std::vector<limit_send> send;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_TYPES_H_
