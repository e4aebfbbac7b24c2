#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_FLEET_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/admission/limit_types.h"
#include "types/ids.h"

namespace marjoramsill {

/// Number of VMs that may be allocator of a workspace, and vote on it.
inline constexpr std::size_t kMaxCandidates = 3;

/// The entry VMs of the fleet. Rendezvous hashing orders them by workspace, the
/// same on every VM.
class limit_fleet {
 public:
  limit_fleet() = default;
  limit_fleet(std::vector<vm_id> vms, const vm_id& self);

  /// The first VMs of the order, at most kMaxCandidates.
  std::vector<vm_id> Candidates(const workspace_id& workspace) const;
  /// The fixed share of this VM: its part of an even split, in which the first
  /// VMs of the order get the remainder of the concurrent requests.
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
