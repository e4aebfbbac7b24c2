#include "process/daemon/control_plane.h"

#include <chrono>
#include <cstdlib>
#include <optional>
#include <thread>
#include <utility>

#include "connection/peer_transport.h"
#include "process/control/policy_command.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/raft_sender.h"
#include "process/daemon/settings.h"
#include "process/daemon/steady_clock.h"
#include "version/submission.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kRaftTimeout{1'000};
// Maximum time for the leadership transfer in a planned shutdown.
constexpr std::chrono::milliseconds kLeadershipTransferTimeout{1'500};

std::string GroupName(std::uint32_t number) {
  return number == 0 ? "control" : "claims-" + std::to_string(number);
}

start_error ErrorOf(const storage_error& error) {
  return {error.file, error.detail};
}

wall_time WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace

result<std::unique_ptr<control_plane>, start_error> control_plane::Open(
    const settings& process_settings, peer_transport& peers,
    policy_hooks hooks) {
  std::unique_ptr<control_plane> plane(
      new control_plane(process_settings, peers, std::move(hooks)));
  auto folder = data_folder::Open(process_settings.data_folder, SystemRandom());
  if (!folder) return failure(ErrorOf(folder.assume_error()));
  plane->folder_ = std::move(folder).assume_value();
  for (std::uint32_t i = 0; i <= process_settings.claim_groups; ++i) {
    group_machine machine;
    if (i == 0) {
      machine = plane->PolicyMachine();
    } else {
      plane->claims_.push_back(std::make_unique<claim_group>());
      machine = plane->claims_.back()->Machine();
    }
    auto opened = plane->OpenGroup(i, std::move(machine));
    if (!opened) return failure(std::move(opened).assume_error());
  }
  return plane;
}

control_plane::control_plane(const settings& process_settings,
                             peer_transport& peers, policy_hooks hooks)
    : settings_(process_settings),
      peers_(peers),
      hooks_(std::move(hooks)),
      disk_(
          [this](std::uint32_t group, std::uint64_t ticket) {
            Send(groups_.at(group)->SyncCompleted(ticket));
          },
          [](std::uint32_t group, const storage_error& error) {
            LogEvent(log_level::kError, "storage_failed",
                     {{"group", GroupName(group)},
                      {"file", error.file},
                      {"detail", error.detail}});
            std::_Exit(EXIT_FAILURE);
          }) {}

control_plane::~control_plane() { disk_.Stop(); }

result<void, start_error> control_plane::OpenGroup(std::uint32_t number,
                                                   group_machine machine) {
  auto folder = folder_->OpenGroup(GroupName(number));
  if (!folder) return failure(ErrorOf(folder.assume_error()));
  group_folders_.push_back(std::move(folder).assume_value());
  auto store = std::make_unique<log_store>(*group_folders_.back());
  auto stored = store->Open();
  if (!stored) return failure(ErrorOf(stored.assume_error()));
  raft_start start;
  start.self = member_id{settings_.vm, folder_->disk()};
  start.domain = settings_.failure_domain;
  start.stored = std::move(stored).assume_value();
  for (const fleet_vm& vm : settings_.fleet) {
    if (vm.control != control_role::kNone) start.peers.push_back(vm.id);
    if (vm.control == control_role::kVoter) {
      start.bootstrap_voters.push_back(vm.id);
    }
  }
  disk_.AddGroup(number, std::move(store));
  groups_.push_back(std::make_unique<group_runner>(
      number, raft_settings{}, std::move(start), std::move(machine), disk_));
  return success();
}

group_machine control_plane::PolicyMachine() {
  group_machine machine;
  machine.apply = [this](std::string_view command) {
    return ApplyPolicy(command);
  };
  machine.take_snapshot = [this] { return policy_.Snapshot(); };
  machine.install_snapshot = [this](std::string_view bytes) {
    if (bytes.empty()) {
      policy_ = policy_state();
      return;
    }
    if (!policy_.Restore(bytes)) {
      LogEvent(log_level::kError, "policy_snapshot_damaged");
      std::_Exit(EXIT_FAILURE);
    }
    const std::lock_guard lock(events_mutex_);
    events_.push_back(
        {nullptr, std::make_shared<const policy_document>(policy_.document())});
  };
  machine.after_unlock = [this] { DeliverPolicyChanges(); };
  return machine;
}

std::string control_plane::ApplyPolicy(std::string_view command) {
  auto applied = policy_.Apply(command);
  if (!applied) {
    LogEvent(log_level::kError, "policy_command_refused");
    return {};
  }
  if (applied.assume_value().change) {
    const std::lock_guard lock(events_mutex_);
    events_.push_back({applied.assume_value().change, nullptr});
  }
  return EncodeOutcome(applied.assume_value().outcome);
}

void control_plane::DeliverPolicyChanges() {
  const std::lock_guard delivering(delivery_mutex_);
  std::vector<policy_event> events;
  {
    const std::lock_guard lock(events_mutex_);
    events.swap(events_);
  }
  if (events.empty()) return;
  const bool is_leader = groups_.front()->IsLeading();
  for (const policy_event& event : events) {
    if (event.restored) {
      hooks_.on_restored(*event.restored);
    } else {
      hooks_.on_committed(event.record, is_leader);
    }
  }
}

void control_plane::Start() {
  disk_.Start();
  Tick();
}

void control_plane::Tick() {
  group_runner::messages all;
  for (const auto& group : groups_) {
    group_runner::messages some = group->Tick();
    all.insert(all.end(), std::make_move_iterator(some.begin()),
               std::make_move_iterator(some.end()));
  }
  Send(all);
}

void control_plane::OnRaftMessage(std::string_view body) {
  auto bundle = DecodeBundle(body);
  if (!bundle) {
    LogEvent(log_level::kWarning, "raft_message_refused",
             {{"field", bundle.assume_error().field}});
    return;
  }
  group_runner::messages responses;
  for (const group_message& each : bundle.assume_value()) {
    if (each.group >= groups_.size()) continue;
    group_runner::messages some = groups_[each.group]->Receive(each.message);
    responses.insert(responses.end(), std::make_move_iterator(some.begin()),
                     std::make_move_iterator(some.end()));
  }
  Send(responses);
}

void control_plane::Send(const group_runner::messages& messages) {
  SendRaftMessages(peers_, messages, kRaftTimeout,
                   [this](const vm_id& id) -> std::optional<socket_address> {
                     const fleet_vm* vm = settings_.FindVm(id);
                     if (vm == nullptr) return std::nullopt;
                     return vm->peers;
                   });
}

void control_plane::OnLeaderRequest(std::string_view kind,
                                    const leader_request& request,
                                    std::function<void(leader_response)> done) {
  if (request.group >= groups_.size() ||
      (kind == kSubmitKind) != (request.group == 0)) {
    done({leader_response_kind::kUnknown, {}, {}});
    return;
  }
  group_runner& group = *groups_[request.group];
  if (!group.IsLeading()) {
    done({leader_response_kind::kNotLeader,
          group.leader().value_or(vm_id()),
          {}});
    return;
  }
  if (kind == kSubmitKind) {
    ProposeSubmission(request, std::move(done));
    return;
  }
  claim_group& claims = *claims_[request.group - 1];
  Send(group.Propose(
      [&claims, &request] { return claims.Stamp(request.command); },
      [done](std::optional<std::string> response) {
        if (!response) {
          done({leader_response_kind::kUnknown, {}, {}});
        } else {
          done({leader_response_kind::kCompleted, {}, std::move(*response)});
        }
      }));
}

void control_plane::ProposeSubmission(
    const leader_request& request, std::function<void(leader_response)> done) {
  auto submitted = DecodeSubmission(request.command);
  const auto root = PublicKeyFromText(settings_.root_key);
  if (!submitted || !root) {
    done({leader_response_kind::kUnknown, {}, {}});
    return;
  }
  policy_command command;
  command.stamped = WallNow();
  command.root_key = *root;
  command.submitted = std::move(submitted).assume_value();
  // Submissions that would be denied are refused before they are appended to
  // the log.
  const submission_outcome expected =
      groups_.front()->WithLock([&] { return policy_.Evaluate(command); });
  if (expected.kind == outcome_kind::kDenied) {
    done({leader_response_kind::kCompleted, {}, EncodeOutcome(expected)});
    return;
  }
  Send(groups_.front()->Propose(
      [&command]() -> std::optional<std::string> {
        return EncodeCommand(command);
      },
      [done](std::optional<std::string> response) {
        if (!response) {
          done({leader_response_kind::kUnknown, {}, {}});
        } else {
          done({leader_response_kind::kCompleted, {}, std::move(*response)});
        }
      }));
}

std::vector<group_status> control_plane::Status() const {
  std::vector<group_status> all;
  all.reserve(groups_.size());
  for (const auto& group : groups_) all.push_back(group->Status());
  return all;
}

void control_plane::Shutdown() {
  for (const auto& group : groups_) Send(group->TransferLeadership());
  const auto latest =
      std::chrono::steady_clock::now() + kLeadershipTransferTimeout;
  const auto leads_any = [this] {
    for (const auto& group : groups_) {
      if (group->IsLeading()) return true;
    }
    return false;
  };
  while (leads_any() && std::chrono::steady_clock::now() < latest) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

}  // namespace marjoramsill
