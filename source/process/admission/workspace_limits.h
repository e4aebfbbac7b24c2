#ifndef MARJORAMSILL_PROCESS_ADMISSION_WORKSPACE_LIMITS_H_
#define MARJORAMSILL_PROCESS_ADMISSION_WORKSPACE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "process/admission/limit_allocator.h"
#include "process/admission/limit_arbiter.h"
#include "process/admission/limit_fleet.h"
#include "process/admission/limit_holder.h"
#include "process/admission/limit_types.h"
#include "types/ids.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

/// Fleet-wide limits of all workspaces, as enforced by one VM. The VM holds
/// shares of the limits, and is allocator and arbiter for the workspaces that
/// hash to it. The protocol and its bound are described in docs/admission.md.
class workspace_limits {
 public:
  /// `process_incarnation` increases with every start of the process on this VM
  /// (32 bits). For one allocator lease duration after `now`, the start of the
  /// process, it grants no allocator lease.
  workspace_limits(const limit_settings& settings, vm_id self,
                   incarnation_number process_incarnation, steady_time now);

  /// All entry VMs of the fleet, also unreachable ones, in any order. The list
  /// must be the same on every VM, except while a change propagates: for
  /// limit_settings::fleet_settle_time after a change, differing lists do not
  /// cause a limit to be exceeded, but shares move less freely.
  void SetFleet(std::vector<vm_id> vms, steady_time now);

  /// Sets the limit of an accepted policy version. A version older than the
  /// known one is ignored. A workspace for which no limit was set is not
  /// limited.
  void SetLimit(const workspace_id& workspace, const workspace_limit& limit,
                steady_time now);

  /// Accepts or refuses a request, or lets it wait for a share. The outcome of
  /// a waiting request follows in `actions`.
  limit_decision Offer(const workspace_id& workspace, request_handle request,
                       cost_units cost, steady_time now,
                       limit_actions& actions);
  /// Records the end of an accepted request. `cost` is the cost given to
  /// Offer().
  void Finish(const workspace_id& workspace, cost_units cost, cost_units used,
              steady_time now);
  /// Removes a waiting request. Returns false if it is not waiting.
  bool Cancel(const workspace_id& workspace, request_handle request);

  /// Handles a message from another VM.
  void Receive(const vm_id& from, const limit_message& message, steady_time now,
               limit_actions& actions);
  /// Renews and expires leases, and decides waiting requests. Call every 50 ms.
  void Tick(steady_time now, limit_actions& actions);

  /// Number of the workspace's requests that are running on this VM.
  std::uint32_t running(const workspace_id& workspace) const;
  std::size_t MemoryBytes() const;

 private:
  limit_holder* Find(const workspace_id& workspace, steady_time now);
  limit_allocator& Allocator(const workspace_id& workspace);
  void Refresh(const workspace_id& workspace, limit_holder& holder,
               steady_time now);
  void Update(const workspace_id& workspace, limit_holder& holder,
              steady_time now, limit_actions& actions);
  void OnLeaseRequest(const vm_id& from, const limit_message& request,
                      steady_time now,
                      std::vector<outgoing_limit_message>& send);
  bool IsCandidate(const workspace_id& workspace, const vm_id& vm) const;
  /// Delivers the messages from index `first_message` on that this VM sends to
  /// itself, and drops others that exceed the byte budget.
  void Deliver(steady_time now, std::size_t first_message,
               limit_actions& actions);
  bool TakeByteBudget(const limit_message& message, steady_time now);

  limit_settings settings_;
  vm_id self_;
  std::uint64_t incarnation_number_;
  limit_fleet fleet_;
  limit_fleet previous_fleet_;
  std::uint64_t fleet_version_ = 0;
  steady_time settled_at_;
  std::unordered_map<workspace_id, limit_holder> holders_;
  /// Workspaces whose holders Tick() must update.
  std::unordered_set<workspace_id> active_workspaces_;
  std::unordered_map<workspace_id, limit_allocator> allocators_;
  limit_arbiter arbiter_;
  int local_depth_ = 0;
  double byte_budget_ = 0;
  steady_time budget_updated_at_;
  steady_time last_cleanup_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_WORKSPACE_LIMITS_H_
