#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_STORE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/controller/document_register.h"
#include "process/daemon/disk_writer.h"
#include "process/daemon/group_runner.h"
#include "process/daemon/start_error.h"
#include "process/replication/data_folder.h"
#include "types/result.h"

namespace marjoramsill {

class data_folder;
class peer_transport;
struct node_settings;

/// The replicated routing document of this control process, with the evacuated
/// failure domains: one Raft group with its log on disk. Thread-safe.
class document_store {
 public:
  /// Receives the result of the command, see document_register::Apply(), or
  /// nothing if the outcome is unknown.
  using committed_hook = std::function<void(std::optional<std::string>)>;

  /// `on_change` is called on any thread after a command is committed here.
  static result<std::unique_ptr<document_store>, start_error> Open(
      const node_settings& settings, data_folder& folder, peer_transport& peers,
      std::function<void()> on_change);
  ~document_store();
  document_store(const document_store&) = delete;
  document_store& operator=(const document_store&) = delete;

  void Start();
  /// Must be called at least every 50 ms.
  void Tick();
  void OnRaftMessage(std::string_view body);
  /// Replicates a command if this process leads.
  void Propose(std::string command, committed_hook done);
  /// Transfers leadership to another member before a planned stop.
  void TransferLeadership();
  void SetPeers(std::vector<vm_id> peers);

  /// This process leads, and the document it holds is the newest.
  bool IsLeading() const { return group_->IsLeading(); }
  std::optional<vm_id> leader() const { return group_->leader(); }
  stored_document Held() const;
  evacuation_set Evacuations() const;
  group_status Status() const { return group_->Status(); }

 private:
  document_store(peer_transport& peers, std::function<void()> on_change);
  result<void, start_error> OpenGroup(const node_settings& settings,
                                      data_folder& folder);
  group_machine Machine();
  void Send(const group_runner::messages& messages);

  peer_transport& peers_;
  const std::function<void()> on_change_;
  document_register register_;
  std::unique_ptr<posix_folder> group_folder_;
  disk_writer disk_;
  std::unique_ptr<group_runner> group_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_STORE_H_
