#ifndef MARJORAMSILL_PROCESS_CONTROL_VERSION_FOLLOWER_H_
#define MARJORAMSILL_PROCESS_CONTROL_VERSION_FOLLOWER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "process/control/distribution_messages.h"
#include "process/control/follower_action.h"
#include "process/control/held_document.h"
#include "process/control/open_fetch.h"
#include "process/control/peer_table.h"
#include "process/control/staged_changes.h"
#include "process/control/token_bucket.h"
#include "process/control/vm_location.h"
#include "process/control/workspace_wants.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"
#include "version/policy_document.h"

namespace marjoramsill {

struct follower_options {
  /// A VM without a document waits this long after the first peer's version,
  /// so that it takes the newest version that its peers hold.
  std::chrono::microseconds discovery = std::chrono::seconds(1);
  /// A VM that is behind waits this long for a push that is under way.
  std::chrono::microseconds gap_delay = std::chrono::milliseconds(300);
  std::chrono::microseconds fetch_timeout = std::chrono::seconds(1);
  /// How long a peer that did not answer or could not is passed over.
  std::chrono::microseconds avoid = std::chrono::seconds(2);
  /// Replies collected for one version are given up when no peer that could
  /// complete it answered for so long; the collection starts again.
  std::chrono::microseconds staging_timeout = std::chrono::seconds(10);
  /// Leaves a third of 3,000 bytes a second to heartbeats and probes.
  std::int64_t bytes_per_second = 2000;
  std::int64_t burst_bytes = 4096;
  /// Pushes and fetches of changes may run this far ahead of the rate; four
  /// children times the largest section.
  std::int64_t most_debt_bytes = 65'536;
};

struct follower_start {
  vm_location self;
  /// Restored from disk; empty on a VM without one.
  policy_document document;
  /// Version that was in force before a restart. Nothing older is installed.
  document_version floor;
};

/// Keeps one VM at the newest version of the policy document. Not
/// synchronised; the owner holds the control lock and performs the returned
/// actions after unlocking. `OnTick` is due every 100 ms.
class version_follower {
 public:
  version_follower(follower_start start, follower_options options,
                   random_source random);

  /// The document given at the start, if it may be put in force.
  follower_actions Start(steady_time now);
  follower_actions OnVmList(steady_time now, std::vector<vm_location> vms);
  /// The version in a peer's heartbeat.
  follower_actions OnPeerVersion(steady_time now, const vm_id& peer,
                                 document_version version);
  /// A change that this VM's own policy state applied. `lead`: this VM is the
  /// leader and starts the push.
  follower_actions OnCommitted(steady_time now, section_ptr record, bool lead);
  /// The document of a snapshot that this VM's own policy state restored.
  follower_actions OnRestored(steady_time now, const policy_document& document);
  follower_actions OnPush(steady_time now, const change_push& push);
  follower_actions OnFetch(steady_time now, const vm_id& from,
                           const fetch_request& request);
  follower_actions OnFetchReply(steady_time now, const vm_id& from,
                                const fetch_reply& reply);
  /// A request of a workspace that the snapshot does not hold while
  /// `workspaces_complete()` is false. Without an answer in time, or when the
  /// queue is full, the caller must reject the request.
  follower_actions OnWorkspaceWanted(steady_time now, const workspace_id& id);
  follower_actions OnTick(steady_time now);

  /// For this VM's heartbeats. 0 while it holds nothing.
  document_version version() const { return held_.version(); }
  const held_document& held() const { return held_; }

 private:
  using fetch_slot = std::optional<open_fetch>;

  void Proceed(steady_time now, follower_actions& out);
  void Publish(follower_actions& out);
  void AcceptChange(steady_time now, const change_push& push,
                    follower_actions& out);
  /// False when the record is in force or already waits.
  bool AddPending(const section_ptr& record);
  void Forward(steady_time now, const change_push& push, follower_actions& out);
  void InstallPending(steady_time now, follower_actions& out);
  void NoteAdvance(steady_time now);
  void Expire(steady_time now, fetch_slot& slot);
  bool Send(steady_time now, fetch_slot& slot, document_version least,
            fetch_request request, follower_actions& out);
  bool MayFetchChanges(steady_time now);
  void FetchChanges(steady_time now, follower_actions& out);
  void FetchWorkspaces(steady_time now, follower_actions& out);
  void FetchNamed(steady_time now, follower_actions& out);
  /// The request that a reply answers, taken out of its slot.
  std::optional<fetch_request> TakeRequest(const vm_id& from, std::uint64_t id);
  void TakeChanges(steady_time now, const fetch_request& request,
                   const fetch_reply& reply, follower_actions& out);
  void TakeWorkspaces(const fetch_request& request, const fetch_reply& reply,
                      follower_actions& out);
  void TakeNamed(const fetch_request& request, const fetch_reply& reply,
                 follower_actions& out);
  void AnswerFromComplete(follower_actions& out);
  bool Fits(const fetch_request& request, const fetch_reply& reply) const;

  vm_location self_;
  follower_options options_;
  random_source random_;
  document_version floor_;
  held_document held_;
  std::vector<vm_location> vms_;
  peer_table peers_;
  token_bucket bucket_;
  workspace_wants wants_;
  /// Pushed changes that came before the one that they follow.
  std::map<section_version, section_ptr> pending_;
  std::optional<staged_changes> staged_;
  fetch_slot changes_;
  fetch_slot workspaces_;
  fetch_slot named_;
  /// Requests whose time has passed but whose replies may still come.
  std::deque<open_fetch> late_;
  /// Starts at random, so that a late reply to an earlier life of this VM is
  /// not taken for the reply to a request of this life.
  std::uint64_t next_fetch_;
  std::optional<steady_time> first_heard_;
  std::optional<steady_time> behind_since_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_VERSION_FOLLOWER_H_
