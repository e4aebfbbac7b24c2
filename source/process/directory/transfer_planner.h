#ifndef MARJORAMSILL_PROCESS_DIRECTORY_TRANSFER_PLANNER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_TRANSFER_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "process/directory/record_transfer.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Rendezvous hash: each watcher ranks the members differently.
std::uint64_t MemberScore(const vm_id& watcher, const vm_id& member);

/// Decides which records an entry VM requests from each control member. A VM
/// that knows no endpoint requests them from one member; the others are asked
/// for differences only, so that a restart of all VMs costs the links of the
/// members one copy for each VM in place of one from each member.
class transfer_planner {
 public:
  explicit transfer_planner(vm_id self);

  /// What to request from `member`. `has_changes`: an earlier response of this
  /// run of the member was applied. `known`: endpoints that this VM knows.
  /// `members`: all that are known so far; empty before the first contact.
  record_transfer Next(const vm_id& member, bool has_changes, std::size_t known,
                       const std::vector<vm_id>& members, steady_time now);

 private:
  /// Members that come before this one as the source of all records.
  std::size_t RankOf(const vm_id& member,
                     const std::vector<vm_id>& members) const;

  const vm_id self_;
  /// When the members became known.
  std::optional<steady_time> started_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_TRANSFER_PLANNER_H_
