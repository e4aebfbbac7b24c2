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

/// Fleet-wide limits of all workspaces, as seen by one VM. The VM acts as
/// holder of shares, and as allocator and arbiter for the workspaces that
/// hash to it. docs/admission.md gives the protocol and its bound.
class workspace_limits {
 public:
  /// `life` grows with every start of the process on this VM (32 bits). A
  /// process gives no licence for one licence time after `now`, its start.
  workspace_limits(const limit_settings& settings, vm_id self, incarnation life,
                   steady_time now);

  /// All entry VMs of the fleet, also unreachable ones, in any order. The same
  /// list on every VM, except while a change of it spreads: for
  /// limit_settings::fleet_settle after a change no limit is exceeded on that
  /// account, but shares move less freely.
  void SetFleet(std::vector<vm_id> vms, steady_time now);

  /// An accepted policy version. An older version than the known one is
  /// ignored. A workspace without a limit is not limited.
  void SetLimit(const workspace_id& workspace, const workspace_limit& limit,
                steady_time now);

  limit_decision Offer(const workspace_id& workspace, request_handle request,
                       cost_units cost, steady_time now,
                       limit_actions& actions);
  /// An accepted request ended. `cost` is that of the offer.
  void Finish(const workspace_id& workspace, cost_units cost, cost_units used,
              steady_time now);
  /// Withdraws a waiting request. Returns false when it does not wait.
  bool Cancel(const workspace_id& workspace, request_handle request);

  void Receive(const vm_id& from, const limit_message& message, steady_time now,
               limit_actions& actions);
  /// To be called every 50 ms.
  void Tick(steady_time now, limit_actions& actions);

  /// Requests of the workspace that run on this VM.
  std::uint32_t running(const workspace_id& workspace) const;
  std::size_t MemoryBytes() const;

 private:
  limit_holder* Find(const workspace_id& workspace, steady_time now);
  limit_allocator& Allocator(const workspace_id& workspace);
  void Refresh(const workspace_id& workspace, limit_holder& holder,
               steady_time now);
  void Update(const workspace_id& workspace, limit_holder& holder,
              steady_time now, limit_actions& actions);
  void OnLicenceAsk(const vm_id& from, const limit_message& ask,
                    steady_time now, std::vector<limit_send>& send);
  bool IsCandidate(const workspace_id& workspace, const vm_id& vm) const;
  /// Delivers messages to this VM itself and holds the others to the budget.
  void Deliver(steady_time now, std::size_t from, limit_actions& actions);
  bool Spend(const limit_message& message, steady_time now);

  limit_settings settings_;
  vm_id self_;
  std::uint64_t life_;
  limit_fleet fleet_;
  limit_fleet previous_fleet_;
  std::uint64_t fleet_version_ = 0;
  steady_time settled_at_;
  std::unordered_map<workspace_id, limit_holder> holders_;
  /// Workspaces whose holders Tick must visit.
  std::unordered_set<workspace_id> engaged_;
  std::unordered_map<workspace_id, limit_allocator> allocators_;
  limit_arbiter arbiter_;
  int local_depth_ = 0;
  double byte_credit_ = 0;
  steady_time credited_at_;
  steady_time forgot_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_WORKSPACE_LIMITS_H_
