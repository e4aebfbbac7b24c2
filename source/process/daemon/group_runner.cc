#include "process/daemon/group_runner.h"

#include <cstdlib>
#include <utility>

#include "process/daemon/disk_writer.h"
#include "process/daemon/event_log.h"
#include "process/daemon/steady_clock.h"

namespace marjoramsill {
namespace {

std::string_view RoleName(raft_role role) {
  switch (role) {
    case raft_role::kFollower:
      return "follower";
    case raft_role::kPreCandidate:
      return "pre-candidate";
    case raft_role::kCandidate:
      return "candidate";
    case raft_role::kLeader:
      return "leader";
  }
  return "unknown";
}

/// IP:PORT of the members that are voters, or of those that are not.
std::string MemberNames(const group_configuration& configuration, bool voters) {
  std::string names;
  for (const group_member& member : configuration.members) {
    if (member.voter != voters) continue;
    if (!names.empty()) names += ',';
    names += member.id.vm.value();
  }
  return names;
}

}  // namespace

group_runner::group_runner(std::uint32_t number, raft_settings settings,
                           raft_start start, group_machine machine,
                           disk_writer& disk)
    : number_(number),
      machine_(std::move(machine)),
      disk_(disk),
      group_(settings, std::move(start),
             {.apply =
                  [this](log_index index, log_term /*term*/,
                         std::string_view command) {
                    responses_[index] = machine_.apply(command);
                  },
              .take_snapshot = machine_.take_snapshot,
              .install_snapshot = machine_.install_snapshot,
              .clock = SteadyNow},
             SystemRandom()) {}

template <class Input>
group_runner::messages group_runner::Process(Input input) {
  messages out;
  std::vector<std::function<void()>> hooks;
  {
    const std::lock_guard lock(mutex_);
    input();
    group_output output = group_.TakeOutput();
    // Enqueued under the lock, so that writes keep their order.
    disk_.Enqueue(number_, std::move(output.writes));
    CompleteProposals(output.proposals, hooks);
    responses_.clear();
    if (output.role) {
      LogEvent(log_level::kInfo, "group_role",
               {{"group", std::to_string(number_)},
                {"role", std::string(RoleName(output.role->role))},
                {"term", std::to_string(output.role->term.value())}});
      leading_ = false;
      leading_read_.reset();
      const bool leads = output.role->role == raft_role::kLeader;
      if (leads) leading_read_ = group_.Read();
    }
    LogMembers();
    HandleReads(output.reads);
    if (output.stale_disk) {
      LogEvent(log_level::kError, "stale_disk",
               {{"group", std::to_string(number_)},
                {"action", "empty the data folder and start again"}});
      std::_Exit(EXIT_FAILURE);
    }
    for (raft_message& message : output.messages) {
      out.push_back({number_, std::move(message)});
    }
  }
  for (const auto& hook : hooks) hook();
  if (machine_.after_unlock) machine_.after_unlock();
  return out;
}

void group_runner::LogMembers() {
  const raft_node& node = group_.node();
  if (node.configuration() == logged_members_) return;
  logged_members_ = node.configuration();
  LogEvent(log_level::kInfo, "group_members",
           {{"group", std::to_string(number_)},
            {"index", std::to_string(node.configuration_index().value())},
            {"voters", MemberNames(logged_members_, true)},
            {"standbys", MemberNames(logged_members_, false)}});
}

void group_runner::CompleteProposals(
    std::vector<proposal_outcome>& outcomes,
    std::vector<std::function<void()>>& hooks) {
  for (const proposal_outcome& outcome : outcomes) {
    const auto found = proposals_.find(outcome.id);
    if (found == proposals_.end()) continue;
    std::optional<std::string> response;
    const auto applied = responses_.find(outcome.index);
    const bool committed = outcome.outcome == proposal_result::kCommitted;
    if (committed && applied != responses_.end()) response = applied->second;
    hooks.emplace_back([done = std::move(found->second),
                        response = std::move(response)] { done(response); });
    proposals_.erase(found);
  }
}

void group_runner::HandleReads(const std::vector<read_outcome>& reads) {
  for (const read_outcome& read : reads) {
    if (!leading_read_ || read.id != *leading_read_) continue;
    leading_read_.reset();
    leading_ = read.ready;
    if (leading_ && machine_.on_leading) machine_.on_leading();
  }
}

group_runner::messages group_runner::Tick() {
  return Process([this] { group_.Tick(); });
}

group_runner::messages group_runner::Receive(const raft_message& message) {
  return Process([&] { group_.Receive(message); });
}

group_runner::messages group_runner::SyncCompleted(std::uint64_t ticket) {
  return Process([this, ticket] { group_.SyncCompleted(ticket); });
}

group_runner::messages group_runner::Propose(
    const std::function<std::optional<std::string>()>& make_command,
    proposal_done done) {
  bool proposed = false;
  messages out = Process([&] {
    if (!leading_) return;
    std::optional<std::string> command = make_command();
    if (!command) return;
    const auto id = group_.Propose(std::move(*command));
    if (!id) return;
    proposals_.emplace(id.assume_value(), std::move(done));
    proposed = true;
  });
  if (!proposed) done(std::nullopt);
  return out;
}

group_runner::messages group_runner::TransferLeadership() {
  return Process([this] { group_.TransferLeadership(); });
}

group_runner::messages group_runner::Leave() {
  return Process([this] { group_.Leave(); });
}

void group_runner::SetPeers(std::vector<vm_id> peers) {
  const std::lock_guard lock(mutex_);
  group_.SetPeers(std::move(peers));
}

bool group_runner::IsLeading() const {
  const std::lock_guard lock(mutex_);
  return leading_ && group_.HoldsLease();
}

std::optional<vm_id> group_runner::leader() const {
  const std::lock_guard lock(mutex_);
  const auto known = group_.node().leader();
  if (!known) return std::nullopt;
  return known->vm;
}

group_status group_runner::Status() const {
  const std::lock_guard lock(mutex_);
  group_status status;
  status.role = group_.node().role();
  status.term = group_.node().term();
  status.leader = group_.node().leader();
  status.members = group_.node().configuration().members;
  status.applied = group_.applied_index();
  return status;
}

}  // namespace marjoramsill
