#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_LEASES_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_LEASES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "process/directory/content_fault.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct content_trial;
struct content_trial_request;

/// Leases that one control process grants for trials with refused content. A VM
/// needs those of most control processes, so that one request at a time is sent
/// in the whole fleet. Kept in memory only: a process that has started anew
/// grants none for the time of a lease. Not thread-safe.
class content_trial_leases {
 public:
  explicit content_trial_leases(steady_time started) : started_(started) {}

  /// Grants leases on all contents of a VM's request or on none of them. Only a
  /// few trials are made with content that stays refused.
  bool Acquire(const vm_id& vm, const content_trial_request& request,
               steady_time now);
  /// Ends the leases that were granted to this request, without a trial.
  void Release(const vm_id& vm, const content_trial_request& request,
               steady_time now);
  /// Removes the leases that no longer matter. Call now and then.
  void Expire(steady_time now);
  std::size_t size() const { return leases_.size(); }

 private:
  struct lease {
    vm_id holder;
    /// Number of the request that it was granted to.
    std::uint64_t number = 0;
    std::uint32_t clearances = 0;
    /// Leases granted with these clearances and not released.
    std::size_t trials = 0;
    steady_time until;
  };

  bool MayGrant(const content_trial& trial, steady_time now) const;

  const steady_time started_;
  std::unordered_map<content_digest, lease> leases_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_LEASES_H_
