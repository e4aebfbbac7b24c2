#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ARBITER_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ARBITER_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "process/admission/limit_types.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Votes on which VM allocates a workspace's limit: grants the allocator lease
/// to one candidate at a time. Any two majorities of the same arbiters share an
/// arbiter, so at most one candidate holds a majority at any time.
class limit_arbiter {
 public:
  struct lease_response {
    bool granted = false;
    /// Time until all concurrency granted by an earlier allocator has ended.
    std::chrono::microseconds time_until_safe{0};
  };

  /// Leases granted before a restart are unknown, so no lease is granted until
  /// one allocator lease duration after `start`.
  limit_arbiter(const limit_settings& settings, steady_time start);

  /// Grants or renews the allocator lease of `from`, unless another candidate
  /// holds it.
  lease_response RequestLease(const workspace_id& workspace, const vm_id& from,
                              std::uint64_t incarnation, steady_time now);
  /// Removes leases whose concurrency has certainly ended.
  void RemoveExpired(steady_time now);
  std::size_t size() const { return leases_.size(); }

 private:
  struct allocator_lease {
    vm_id candidate;
    std::uint64_t incarnation = 0;
    steady_time expires_at;
    /// Expiry of the last lease of another candidate.
    steady_time other_expires_at;
  };

  limit_settings settings_;
  steady_time start_;
  std::unordered_map<workspace_id, allocator_lease> leases_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ARBITER_H_
