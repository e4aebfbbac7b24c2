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

/// What a group needs from its state machine. `apply`, `take_snapshot` and
/// `install_snapshot` run under the group's lock.
struct group_machine {
  /// Applies a committed command and returns the answer to its proposer.
  std::function<std::string(std::string_view command)> apply;
  std::function<std::string()> take_snapshot;
  std::function<void(std::string_view bytes)> install_snapshot;
  /// This member leads and reflects all commands of earlier leaders.
  std::function<void()> on_leading;
  /// Runs after every input without the lock, to pass on what was applied.
  std::function<void()> after_unlock;
};

/// State of a group for the status command.
struct group_status {
  raft_role role = raft_role::kFollower;
  log_term term;
  std::optional<member_id> leader;
  std::vector<group_member> members;
  log_index applied;
};

/// One replicated group on this VM under its own lock. Every input returns the
/// messages to send; writes go to the disk thread in order.
class group_runner {
 public:
  using messages = std::vector<group_message>;
  /// Gets the state machine's answer, or nothing when it is not known whether
  /// the command was or will be applied.
  using proposal_done = std::function<void(std::optional<std::string>)>;

  group_runner(std::uint32_t number, raft_settings settings, raft_start start,
               group_machine machine, disk_writer& disk);

  messages Tick();
  messages Receive(const raft_message& message);
  messages SyncCompleted(std::uint64_t ticket);
  /// `make_command` runs under the lock, so that stamps follow the log's order;
  /// it gives nothing when this member cannot answer now. The hook then runs
  /// with nothing as well.
  messages Propose(
      const std::function<std::optional<std::string>()>& make_command,
      proposal_done done);
  messages TransferLeadership();
  messages Leave();
  /// Replaces the VMs that are asked for membership.
  void SetPeers(std::vector<vm_id> peers);

  /// Runs a function on the state machine under the group's lock.
  template <class Function>
  auto Locked(Function function) const {
    const std::lock_guard lock(mutex_);
    return function();
  }
  bool IsLeading() const;
  std::optional<vm_id> leader() const;
  group_status Status() const;
  std::uint32_t number() const { return number_; }

 private:
  /// Runs `input` on the group under the lock and hands out what it produced.
  template <class Input>
  messages Process(Input input);
  void TakeProposals(std::vector<proposal_outcome>& outcomes,
                     std::vector<std::function<void()>>& hooks);
  void NoteReads(const std::vector<read_outcome>& reads);
  std::string Apply(log_index index, std::string_view command);

  const std::uint32_t number_;
  const group_machine machine_;
  disk_writer& disk_;
  mutable std::mutex mutex_;
  std::map<std::uint64_t, proposal_done> proposals_;
  /// Answers of commands applied by the present input.
  std::map<log_index, std::string> answers_;
  std::optional<std::uint64_t> leading_read_;
  bool leading_ = false;
  bool stale_disk_ = false;
  replicated_group group_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_GROUP_RUNNER_H_
