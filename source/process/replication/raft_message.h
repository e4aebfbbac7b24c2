#ifndef MARJORAMSILL_PROCESS_REPLICATION_RAFT_MESSAGE_H_
#define MARJORAMSILL_PROCESS_REPLICATION_RAFT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "process/replication/group_configuration.h"
#include "process/replication/log_entry.h"
#include "process/replication/member.h"
#include "types/ids.h"

namespace marjoramsill {

/// Request for a vote. A pre-vote does not raise the term. `transfer` is set if
/// the leader itself requested the election (leadership transfer).
struct vote_request {
  bool pre_vote = false;
  bool transfer = false;
  log_index last_index;
  log_term last_term;
  friend bool operator==(const vote_request&, const vote_request&) = default;
};

/// Response to a vote request with the same `pre_vote`.
struct vote_response {
  bool pre_vote = false;
  bool granted = false;
  friend bool operator==(const vote_response&, const vote_response&) = default;
};

/// `round` is the number of the leader's heartbeat round within its term.
struct heartbeat {
  std::uint64_t round = 0;
  log_index commit;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// Response to the heartbeat of this round.
struct heartbeat_response {
  std::uint64_t round = 0;
  friend bool operator==(const heartbeat_response&,
                         const heartbeat_response&) = default;
};

/// Log entries that follow `previous_index`, and the leader's commit index.
struct append_request {
  std::uint64_t round = 0;
  log_index previous_index;
  log_term previous_term;
  log_index commit;
  std::vector<log_entry> entries;
  friend bool operator==(const append_request&,
                         const append_request&) = default;
};

/// On success `index` is the last index known to match; otherwise it is the
/// greatest index that may match. `nonce` is nonzero if the member has no state
/// yet and needs a snapshot, which must carry this number.
struct append_response {
  std::uint64_t round = 0;
  bool success = false;
  log_index index;
  std::uint64_t nonce = 0;
  friend bool operator==(const append_response&,
                         const append_response&) = default;
};

/// Part of the snapshot after the entry `index` of term `entry_term`: the bytes
/// `data` at `offset` of `total` bytes. `nonce` is the number received from a
/// member without state.
struct snapshot_part {
  std::uint64_t round = 0;
  log_index index;
  log_term entry_term;
  group_configuration configuration;
  std::uint64_t nonce = 0;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;
  friend bool operator==(const snapshot_part&, const snapshot_part&) = default;
};

/// `received` is the number of bytes received of the snapshot at `index`.
struct snapshot_response {
  std::uint64_t round = 0;
  log_index index;
  std::uint64_t received = 0;
  friend bool operator==(const snapshot_response&,
                         const snapshot_response&) = default;
};

/// Leadership transfer: requests that the receiver start an election
/// immediately.
struct timeout_now {
  friend bool operator==(const timeout_now&, const timeout_now&) = default;
};

/// Request to be added as a standby. A member sends it also when it has no
/// contact with a leader. `nonce` is nonzero if the sender has no state.
struct join_request {
  failure_domain_id domain;
  std::uint64_t nonce = 0;
  friend bool operator==(const join_request&, const join_request&) = default;
};

/// Response to a join request. `leader` is empty if none is known.
struct join_response {
  std::optional<member_id> leader;
  friend bool operator==(const join_response&, const join_response&) = default;
};

/// Request of a member that shuts down to be removed from the group.
struct leave_request {
  friend bool operator==(const leave_request&, const leave_request&) = default;
};

/// Sent by the first VM of the bootstrap list to the others before it creates a
/// group.
struct bootstrap_query {
  friend bool operator==(const bootstrap_query&,
                         const bootstrap_query&) = default;
};

/// Response to a bootstrap query. `has_group` is set if the member belongs to a
/// group already; `nonce` is the number that a snapshot for it must carry.
struct bootstrap_response {
  bool has_group = false;
  failure_domain_id domain;
  std::uint64_t nonce = 0;
  friend bool operator==(const bootstrap_response&,
                         const bootstrap_response&) = default;
};

/// Query of a restarted member to its peers: is the state on its disk the
/// latest one that this member has had?
struct start_query {
  std::uint64_t starts = 0;
  /// Random number of this run of the process, by which a peer recognises a
  /// repeated query.
  std::uint64_t run = 0;
  friend bool operator==(const start_query&, const start_query&) = default;
};

/// `stale` is set if the peer knows of another run of the member with the same
/// or a greater start number. `known_index` is the last index that the member
/// has acknowledged to the sender as the leader of the message's term, else
/// zero. `configuration` is the one in effect at the sender and
/// `configuration_index` the index of its entry, zero if it has none or runs a
/// build that does not send it.
struct start_response {
  std::uint64_t run = 0;
  bool stale = false;
  log_index known_index;
  log_index configuration_index;
  group_configuration configuration;
  friend bool operator==(const start_response&,
                         const start_response&) = default;
};

using raft_body =
    std::variant<vote_request, vote_response, heartbeat, heartbeat_response,
                 append_request, append_response, snapshot_part,
                 snapshot_response, timeout_now, join_request, join_response,
                 leave_request, bootstrap_query, bootstrap_response,
                 start_query, start_response>;

/// A message between two members. A zero `to.disk` addresses whichever member
/// runs on that VM; it is valid only for join_request, bootstrap_query and
/// start_query.
struct raft_message {
  member_id from;
  member_id to;
  log_term term;
  raft_body body;

  friend bool operator==(const raft_message&, const raft_message&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_MESSAGE_H_
