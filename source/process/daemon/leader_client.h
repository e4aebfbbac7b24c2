#ifndef MARJORAMSILL_PROCESS_DAEMON_LEADER_CLIENT_H_
#define MARJORAMSILL_PROCESS_DAEMON_LEADER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "process/daemon/leader_answer.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_plane;
class peer_transport;
struct settings;

/// Sends commands to the leader of a group, wherever it is. A command that is
/// certain not to have been proposed goes to the next candidate; one whose fate
/// is uncertain is not sent again, the sender decides.
class leader_client {
 public:
  /// Gets the state machine's answer, or nothing.
  using done = std::function<void(std::optional<std::string>)>;

  /// `own` is null on a VM that is no control member.
  leader_client(const settings& process_settings, peer_transport& peers,
                control_plane* own);

  /// The hook runs exactly once, within `timeout` and one message timeout.
  void Send(std::string_view kind, leader_request request,
            std::chrono::milliseconds timeout, done hook);

 private:
  /// One command on its way.
  struct journey;

  void Try(const std::shared_ptr<journey>& current);
  void OnAnswer(const std::shared_ptr<journey>& current, const vm_id& from,
                const std::optional<leader_answer>& answer, bool delivered);
  std::vector<vm_id> Candidates(std::uint32_t group) const;

  const settings& settings_;
  peer_transport& peers_;
  control_plane* const own_;
  mutable std::mutex mutex_;
  /// Last known leader of each group.
  std::map<std::uint32_t, vm_id> leaders_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_LEADER_CLIENT_H_
