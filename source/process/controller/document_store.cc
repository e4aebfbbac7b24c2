#include "process/controller/document_store.h"

#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

#include "connection/peer_transport.h"
#include "process/controller/document_group_settings.h"
#include "process/controller/node_settings.h"
#include "process/controller/storage_failure.h"
#include "process/daemon/event_log.h"
#include "process/daemon/raft_sender.h"
#include "process/daemon/steady_clock.h"
#include "process/replication/posix_folder.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kGroupNumber = 0;
constexpr const char* kGroupName = "document";
constexpr milliseconds kRaftTimeout{700};

}  // namespace

result<std::unique_ptr<document_store>, start_error> document_store::Open(
    const node_settings& settings, data_folder& folder, peer_transport& peers,
    std::function<void()> on_change) {
  std::unique_ptr<document_store> store(
      new document_store(peers, std::move(on_change)));
  auto opened = store->OpenGroup(settings, folder);
  if (!opened) return failure(std::move(opened).assume_error());
  return store;
}

document_store::document_store(peer_transport& peers,
                               std::function<void()> on_change)
    : peers_(peers),
      on_change_(std::move(on_change)),
      disk_(
          [this](std::uint32_t /*group*/, std::uint64_t ticket) {
            Send(group_->SyncCompleted(ticket));
          },
          [](std::uint32_t /*group*/, const storage_error& error) {
            ExitOnStorageError(error);
          }) {}

document_store::~document_store() { disk_.Stop(); }

result<void, start_error> document_store::OpenGroup(
    const node_settings& settings, data_folder& folder) {
  auto group_folder = folder.OpenGroup(kGroupName);
  if (!group_folder) return failure(StartError(group_folder.assume_error()));
  group_folder_ = std::move(group_folder).assume_value();
  auto store = std::make_unique<log_store>(*group_folder_);
  auto stored = store->Open();
  if (!stored) return failure(StartError(stored.assume_error()));
  raft_start start;
  start.self = member_id{settings.vm, folder.disk()};
  start.domain = settings.failure_domain;
  start.stored = std::move(stored).assume_value();
  start.peers = SeedVms(settings);
  if (settings.founds_group) start.bootstrap_voters = SeedVms(settings);
  disk_.AddGroup(kGroupNumber, std::move(store));
  group_ = std::make_unique<group_runner>(
      kGroupNumber, DocumentGroupSettings(settings.tolerated_losses),
      std::move(start), Machine(), disk_);
  return success();
}

group_machine document_store::Machine() {
  group_machine machine;
  machine.apply = [this](std::string_view command) {
    return register_.Apply(command);
  };
  machine.take_snapshot = [this] { return register_.Snapshot(); };
  machine.install_snapshot = [this](std::string_view bytes) {
    if (register_.Restore(bytes)) return;
    LogEvent(log_level::kError, "document_snapshot_damaged");
    std::_Exit(EXIT_FAILURE);
  };
  machine.after_unlock = [this] { on_change_(); };
  return machine;
}

void document_store::Start() {
  disk_.Start();
  Tick();
}

void document_store::Tick() { Send(group_->Tick()); }

void document_store::OnRaftMessage(std::string_view body) {
  auto bundle = DecodeBundle(body);
  if (!bundle) {
    LogEvent(log_level::kWarning, "raft_message_refused",
             {{"field", bundle.assume_error().field}});
    return;
  }
  for (const group_message& each : bundle.assume_value()) {
    if (each.group == kGroupNumber) Send(group_->Receive(each.message));
  }
}

void document_store::Send(const group_runner::messages& messages) {
  SendRaftMessages(peers_, messages, kRaftTimeout, [](const vm_id& vm) {
    return ParseSocketAddress(vm.value());
  });
}

void document_store::Propose(std::string command, committed_hook done) {
  Send(group_->Propose(
      [&command]() -> std::optional<std::string> { return std::move(command); },
      std::move(done)));
}

void document_store::TransferLeadership() {
  Send(group_->TransferLeadership());
}

void document_store::SetPeers(std::vector<vm_id> peers) {
  group_->SetPeers(std::move(peers));
}

stored_document document_store::Held() const {
  return group_->WithLock([this] { return register_.held(); });
}

evacuation_set document_store::Evacuations() const {
  return group_->WithLock([this] { return register_.evacuations(); });
}

}  // namespace marjoramsill
