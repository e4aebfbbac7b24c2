#ifndef MARJORAMSILL_PROCESS_DAEMON_GROUP_RUNNER_H_
#define MARJORAMSILL_PROCESS_DAEMON_GROUP_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/replication/message_codec.h"
#include "process/replication/replicated_group.h"

namespace marjoramsill {

class disk_writer;

/// Hooks of a group into its state machine. `apply`, `take_snapshot` and
/// `install_snapshot` run under the group's lock.
struct group_machine {
  /// Applies a committed command and returns the response to its proposer.
  std::function<std::string(std::string_view command)> apply;
  std::function<std::string()> take_snapshot;
  std::function<void(std::string_view bytes)> install_snapshot;
  /// Called when this member leads and has applied all commands of earlier
  /// leaders.
  std::function<void()> on_leading;
  /// Runs after every input without the lock, to publish applied commands.
  std::function<void()> after_unlock;
};

/// State of a group, as the status command shows it.
struct group_status {
  raft_role role = raft_role::kFollower;
  log_term term;
  std::optional<member_id> leader;
  std::vector<group_member> members;
  log_index applied;
};

/// One replicated group on this VM, guarded by its own lock. Every input
/// returns the messages to send; writes are queued on the disk thread in order.
class group_runner {
 public:
  using messages = std::vector<group_message>;
  /// Receives the state machine's response, or nullopt if it is unknown whether
  /// the command was or will be applied.
  using proposal_done = std::function<void(std::optional<std::string>)>;

  group_runner(std::uint32_t number, raft_settings settings, raft_start start,
               group_machine machine, disk_writer& disk);

  messages Tick();
  messages Receive(const raft_message& message);
  messages SyncCompleted(std::uint64_t ticket);
  /// `make_command` runs under the lock, so that timestamps follow the log's
  /// order. It returns nullopt if this member cannot propose a command now;
  /// `done` is then called with nullopt as well.
  messages Propose(
      const std::function<std::optional<std::string>()>& make_command,
      proposal_done done);
  messages TransferLeadership();
  messages Leave();
  /// Replaces the VMs from which this member requests group membership.
  void SetPeers(std::vector<vm_id> peers);

  /// Runs a function on the state machine under the group's lock.
  template <class Function>
  auto WithLock(Function function) const {
    const std::lock_guard lock(mutex_);
    return function();
  }
  bool IsLeading() const;
  std::optional<vm_id> leader() const;
  group_status Status() const;
  std::uint32_t number() const { return number_; }

 private:
  /// Runs `input` on the group under the lock and processes its output.
  template <class Input>
  messages Process(Input input);
  void CompleteProposals(std::vector<proposal_outcome>& outcomes,
                         std::vector<std::function<void()>>& hooks);
  void HandleReads(const std::vector<read_outcome>& reads);
  /// Logs the members of the group if they have changed.
  void LogMembers();
  std::string Apply(log_index index, std::string_view command);

  const std::uint32_t number_;
  const group_machine machine_;
  disk_writer& disk_;
  mutable std::mutex mutex_;
  std::map<std::uint64_t, proposal_done> proposals_;
  /// Responses of the commands that the current input has applied.
  std::map<log_index, std::string> responses_;
  std::optional<std::uint64_t> leading_read_;
  bool leading_ = false;
  group_configuration logged_members_;
  replicated_group group_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_GROUP_RUNNER_H_
