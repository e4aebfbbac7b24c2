#ifndef MARJORAMSILL_PROCESS_DAEMON_LIMITS_SERVICE_H_
#define MARJORAMSILL_PROCESS_DAEMON_LIMITS_SERVICE_H_

#include <functional>
#include <mutex>
#include <string_view>
#include <unordered_map>

#include "process/admission/workspace_limits.h"
#include "request/classified_request.h"

namespace marjoramsill {

class peer_transport;
struct settings;

/// Enforces the fleet-wide limits of workspaces on this VM: runs
/// workspace_limits under a lock and exchanges its messages with the other VMs.
class limits_service {
 public:
  /// Receives whether the request is within its workspace's limits.
  using decision_hook = std::function<void(bool accepted)>;

  limits_service(const settings& process_settings,
                 incarnation_number incarnation, peer_transport& peers);

  /// Decides whether a request is within its workspace's limits. The hook is
  /// called exactly once, immediately or after other VMs have responded.
  void Offer(const classified_request& request, request_handle handle,
             document_version version, decision_hook hook);
  /// Records that an accepted request has ended. `used` is its actual cost.
  void Finish(const workspace_id& workspace, cost_units cost, cost_units used);
  /// Body of a `limits` message.
  void OnMessage(const vm_id& from, std::string_view body);
  /// To be called every 50 ms.
  void Tick();

 private:
  template <class Input>
  void Run(Input input);

  const settings& settings_;
  peer_transport& peers_;
  std::mutex mutex_;
  workspace_limits limits_;
  std::unordered_map<request_handle, decision_hook> waiting_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_LIMITS_SERVICE_H_
