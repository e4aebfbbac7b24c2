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
#include "process/control/requested_workspaces.h"
#include "process/control/staged_changes.h"
#include "process/control/token_bucket.h"
#include "process/control/vm_location.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"
#include "version/policy_document.h"

namespace marjoramsill {

/// Timing and rate limits of a `version_follower`.
struct follower_options {
  /// How long a VM without a document collects the versions of its peers after
  /// the first one, to start with the newest.
  std::chrono::microseconds discovery_time = std::chrono::seconds(1);
  /// How long a lagging VM waits for a push before it fetches the changes.
  std::chrono::microseconds gap_delay = std::chrono::milliseconds(300);
  std::chrono::microseconds fetch_timeout = std::chrono::seconds(1);
  /// How long a peer without a usable response is not selected again.
  std::chrono::microseconds avoid_time = std::chrono::seconds(2);
  /// Responses collected for one version are discarded, and the fetch restarts,
  /// when no peer that could complete the version responded for this long.
  std::chrono::microseconds staging_timeout = std::chrono::seconds(10);
  /// Leaves a third of 3,000 bytes a second for heartbeats and probes.
  std::int64_t bytes_per_second = 2000;
  std::int64_t burst_bytes = 4096;
  /// Pushes and fetches of changes may exceed the rate by this much: the
  /// largest section sent to four children.
  std::int64_t max_debt_bytes = 65'536;
};

/// Initial state of a `version_follower`.
struct follower_start {
  vm_location self;
  /// Restored from disk; empty on a VM without one.
  policy_document document;
  /// Version that was in force before a restart. Older versions are not
  /// installed.
  document_version minimum_version;
};

/// Keeps one VM at the newest version of the policy document. Not thread-safe:
/// the owner holds the control lock during calls, and performs the returned
/// actions after it releases the lock. `OnTick` must be called every 100 ms.
class version_follower {
 public:
  version_follower(follower_start start, follower_options options,
                   random_source random);

  /// Installs the initial document unless it is older than
  /// `follower_start::minimum_version`.
  follower_actions Start(steady_time now);
  follower_actions OnVmList(steady_time now, std::vector<vm_location> vms);
  /// A peer reported its document version in a heartbeat.
  follower_actions OnPeerVersion(steady_time now, const vm_id& peer,
                                 document_version version);
  /// The policy state of this VM applied a change. `lead`: this VM is the
  /// leader and starts the push.
  follower_actions OnCommitted(steady_time now, section_ptr record, bool lead);
  /// The policy state of this VM restored a snapshot with this document.
  follower_actions OnRestored(steady_time now, const policy_document& document);
  follower_actions OnPush(steady_time now, const change_push& push);
  follower_actions OnFetch(steady_time now, const vm_id& from,
                           const fetch_request& request);
  follower_actions OnFetchResponse(steady_time now, const vm_id& from,
                                   const fetch_response& response);
  /// A request needs a workspace that is missing from the snapshot while
  /// `workspaces_complete()` is false. The caller must reject the request when
  /// no `workspace_response` follows in time or the queue is full.
  follower_actions OnWorkspaceRequested(steady_time now,
                                        const workspace_id& id);
  follower_actions OnTick(steady_time now);

  /// Document version for the heartbeats of this VM; 0 without a document.
  document_version version() const { return held_.version(); }
  const held_document& held() const { return held_; }

 private:
  using fetch_slot = std::optional<open_fetch>;

  void Proceed(steady_time now, follower_actions& out);
  void Publish(follower_actions& out);
  void AcceptChange(steady_time now, const change_push& push,
                    follower_actions& out);
  /// False when the record is already in force or pending.
  bool AddPending(const section_ptr& record);
  void Forward(steady_time now, const change_push& push, follower_actions& out);
  void InstallPending(steady_time now, follower_actions& out);
  void RecordAdvance(steady_time now);
  void Expire(steady_time now, fetch_slot& slot);
  bool Send(steady_time now, fetch_slot& slot, document_version min_version,
            fetch_request request, follower_actions& out);
  bool MayFetchChanges(steady_time now);
  void FetchChanges(steady_time now, follower_actions& out);
  void FetchWorkspaces(steady_time now, follower_actions& out);
  void FetchNamed(steady_time now, follower_actions& out);
  /// Removes and returns the open request with this id, if there is one.
  std::optional<fetch_request> RemoveRequest(const vm_id& from,
                                             std::uint64_t id);
  void ApplyChanges(steady_time now, const fetch_request& request,
                    const fetch_response& response, follower_actions& out);
  void ApplyWorkspaces(const fetch_request& request,
                       const fetch_response& response, follower_actions& out);
  void ApplyNamed(const fetch_request& request, const fetch_response& response,
                  follower_actions& out);
  void RespondWhenComplete(follower_actions& out);
  bool IsValidResponse(const fetch_request& request,
                       const fetch_response& response) const;

  vm_location self_;
  follower_options options_;
  random_source random_;
  document_version minimum_version_;
  held_document held_;
  std::vector<vm_location> vms_;
  peer_table peers_;
  token_bucket bucket_;
  requested_workspaces requested_;
  /// Pushed changes that arrived before their predecessor.
  std::map<section_version, section_ptr> pending_;
  std::optional<staged_changes> staged_;
  fetch_slot changes_;
  fetch_slot workspaces_;
  fetch_slot named_;
  /// Requests that timed out but may still get a response.
  std::deque<open_fetch> timed_out_;
  /// Starts at a random number, so that a late response to a request from
  /// before a restart does not match a request from after it.
  std::uint64_t next_fetch_;
  std::optional<steady_time> first_version_at_;
  std::optional<steady_time> behind_since_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_VERSION_FOLLOWER_H_
