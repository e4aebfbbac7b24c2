#ifndef MARJORAMSILL_PROCESS_DAEMON_POLICY_DISTRIBUTION_H_
#define MARJORAMSILL_PROCESS_DAEMON_POLICY_DISTRIBUTION_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "process/control/version_follower.h"
#include "process/daemon/start_error.h"
#include "types/result.h"

namespace marjoramsill {

class peer_transport;
class policy_snapshot;
struct settings;

/// Keeps this VM up to date with the newest policy version: runs the version
/// follower under a lock and executes its actions.
class policy_distribution {
 public:
  using install_hook =
      std::function<void(std::shared_ptr<const policy_snapshot>)>;

  policy_distribution(const settings& process_settings, peer_transport& peers,
                      install_hook install);

  /// On a VM with a disk, restores the document that was in force before the
  /// restart.
  result<void, start_error> Start();
  /// To be called every 100 ms with the newest version among the peers.
  void Tick(const vm_id& newest_holder, document_version newest);
  void OnCommitted(const section_ptr& record, bool is_leader);
  void OnRestored(const policy_document& document);
  /// Handle the bodies of `policy/changes` and `policy/fetch` messages.
  void OnPush(std::string_view body);
  std::string OnFetch(const vm_id& from, std::string_view body);

  /// Fetches the section of a workspace that a request names and this VM may
  /// not hold yet.
  void FetchWorkspace(const workspace_id& workspace);

  document_version version() const;
  section_ptr FindSection(const section_name& name) const;
  std::vector<section_ptr> Sections() const;

 private:
  template <class Input>
  void Run(Input input);
  void Execute(const follower_actions& actions);
  void SendPush(const send_push& action);
  void SendFetch(const send_fetch& action);
  void Install(const install_version& action);
  result<policy_document, start_error> ReadDocument() const;
  /// Writes the document in force to disk; a failure ends the process.
  void WriteDocument();

  const settings& settings_;
  peer_transport& peers_;
  const install_hook install_;
  mutable std::mutex mutex_;
  std::unique_ptr<version_follower> follower_;
  /// Serializes installations, so that versions are installed in order.
  std::mutex install_mutex_;
  document_version installed_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_POLICY_DISTRIBUTION_H_
