#ifndef MARJORAMSILL_PROCESS_DAEMON_WORKSPACE_HANDLES_H_
#define MARJORAMSILL_PROCESS_DAEMON_WORKSPACE_HANDLES_H_

#include <mutex>
#include <unordered_map>

#include "process/admission/admission_types.h"
#include "types/ids.h"

namespace marjoramsill {

/// Assigns each workspace a dense number for the admission queues. The map is
/// bounded by the workspaces of the policy, because requests of other
/// workspaces are refused earlier.
class workspace_handles {
 public:
  workspace_handle HandleOf(const workspace_id& workspace) {
    const std::lock_guard lock(mutex_);
    const auto next = workspace_handle(handles_.size());
    return handles_.try_emplace(workspace, next).first->second;
  }

 private:
  std::mutex mutex_;
  std::unordered_map<workspace_id, workspace_handle> handles_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_WORKSPACE_HANDLES_H_
