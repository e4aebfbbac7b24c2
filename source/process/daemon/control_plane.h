#ifndef MARJORAMSILL_PROCESS_DAEMON_CONTROL_PLANE_H_
#define MARJORAMSILL_PROCESS_DAEMON_CONTROL_PLANE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "process/control/policy_state.h"
#include "process/daemon/claim_group.h"
#include "process/daemon/disk_writer.h"
#include "process/daemon/group_runner.h"
#include "process/daemon/leader_response.h"
#include "process/daemon/start_error.h"
#include "process/replication/data_folder.h"
#include "types/result.h"

namespace marjoramsill {

class peer_transport;
struct settings;

/// Hooks into the distribution of policy versions.
struct policy_hooks {
  /// Called with a change that the control group has applied.
  std::function<void(section_ptr record, bool is_leader)> on_committed;
  /// Called with the document of a restored snapshot.
  std::function<void(const policy_document& document)> on_restored;
};

/// The replicated groups of a control member: group 0 holds the policy
/// document, groups 1 to claim_groups hold claims. Each group has its own lock.
class control_plane {
 public:
  /// Locks the data folder and reads the groups from it.
  static result<std::unique_ptr<control_plane>, start_error> Open(
      const settings& process_settings, peer_transport& peers,
      policy_hooks hooks);
  ~control_plane();
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;

  void Start();
  /// To be called every 50 ms.
  void Tick();
  /// Handles the body of a `raft` message.
  void OnRaftMessage(std::string_view body);
  /// Handles a `claim` or `submit` command. `done` may run on any thread.
  void OnLeaderRequest(std::string_view kind, const leader_request& request,
                       std::function<void(leader_response)> done);

  /// Returns the status of each group, indexed by its number.
  std::vector<group_status> Status() const;
  /// Transfers leadership for a planned shutdown; blocks until this VM leads no
  /// group, for 1.5 s at most.
  void Shutdown();

 private:
  control_plane(const settings& process_settings, peer_transport& peers,
                policy_hooks hooks);

  result<void, start_error> OpenGroup(std::uint32_t number,
                                      group_machine machine);
  group_machine PolicyMachine();
  std::string ApplyPolicy(std::string_view command);
  void DeliverPolicyChanges();
  void ProposeSubmission(const leader_request& request,
                         std::function<void(leader_response)> done);
  void Send(const group_runner::messages& messages);

  /// An applied change that is queued until the group's lock is released.
  struct policy_event {
    section_ptr record;
    std::shared_ptr<const policy_document> restored;
  };

  const settings& settings_;
  peer_transport& peers_;
  const policy_hooks hooks_;
  std::unique_ptr<data_folder> folder_;
  std::vector<std::unique_ptr<posix_folder>> group_folders_;
  disk_writer disk_;
  /// Guarded by the lock of group 0.
  policy_state policy_;
  std::mutex events_mutex_;
  std::vector<policy_event> events_;
  /// Held while events are delivered, so that they keep their order.
  std::mutex delivery_mutex_;
  std::vector<std::unique_ptr<claim_group>> claims_;
  std::vector<std::unique_ptr<group_runner>> groups_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_CONTROL_PLANE_H_
