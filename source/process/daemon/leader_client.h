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

#include "process/daemon/leader_response.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_plane;
class peer_transport;
struct settings;

/// Sends commands to the current leader of a group. A command that was
/// certainly not proposed is sent to the next candidate. If it is unknown
/// whether a command was applied, it is not sent again; the caller of Send()
/// decides what to do.
class leader_client {
 public:
  /// Receives the state machine's response, or nullopt if there is none.
  using done = std::function<void(std::optional<std::string>)>;

  /// `own` is null on a VM that is not a control member.
  leader_client(const settings& process_settings, peer_transport& peers,
                control_plane* own);

  /// The hook is called exactly once, within `timeout` plus one message
  /// timeout.
  void Send(std::string_view kind, leader_request request,
            std::chrono::milliseconds timeout, done hook);

 private:
  /// One command that has not been completed.
  struct pending_command;

  void Try(const std::shared_ptr<pending_command>& current);
  void OnResponse(const std::shared_ptr<pending_command>& current,
                  const vm_id& from,
                  const std::optional<leader_response>& response,
                  bool delivered);
  std::vector<vm_id> Candidates(std::uint32_t group) const;

  const settings& settings_;
  peer_transport& peers_;
  control_plane* const own_;
  mutable std::mutex mutex_;
  /// Last known leader of each group; Send() tries it first.
  std::map<std::uint32_t, vm_id> known_leaders_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_LEADER_CLIENT_H_
