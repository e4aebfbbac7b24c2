#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_FLEET_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/admission/limit_types.h"
#include "types/ids.h"

namespace marjoramsill {

/// Maximum number of VMs that may allocate a workspace's limit; the same VMs
/// are its arbiters.
inline constexpr std::size_t kMaxCandidates = 3;

/// The entry VMs of the fleet. Rendezvous hashing gives each workspace its own
/// order of VMs, which is the same on every VM.
class limit_fleet {
 public:
  limit_fleet() = default;
  limit_fleet(std::vector<vm_id> vms, const vm_id& self);

  /// The first VMs in the workspace's order, at most kMaxCandidates.
  std::vector<vm_id> Candidates(const workspace_id& workspace) const;
  /// Fixed share of this VM: an even split of the limit, in which the first VMs
  /// in the workspace's order get the remainder of the concurrent requests.
  double FixedTokens(const workspace_limit& limit) const;
  std::uint32_t FixedConcurrent(const workspace_id& workspace,
                                const workspace_limit& limit) const;
  std::size_t size() const { return members_.size(); }

 private:
  struct member {
    vm_id vm;
    std::uint64_t hash = 0;
  };

  std::vector<member> members_;
  std::uint64_t self_hash_ = 0;
  bool has_self_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_FLEET_H_
