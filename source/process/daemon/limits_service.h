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

/// Fleet-wide limits of workspaces on this VM: runs workspace_limits under its
/// lock and exchanges its messages with the other VMs.
class limits_service {
 public:
  /// Gets whether the request is within its workspace's limits.
  using decided = std::function<void(bool accepted)>;

  limits_service(const settings& process_settings, incarnation life,
                 peer_transport& peers);

  /// The hook runs exactly once, at once or after asking other VMs.
  void Offer(const classified_request& request, request_handle handle,
             document_version version, decided hook);
  /// A request that was accepted has ended.
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
  std::unordered_map<request_handle, decided> waiting_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_LIMITS_SERVICE_H_
