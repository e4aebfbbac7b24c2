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

/// Request for a vote. `pre` asks without raising the term; `transfer` is set
/// when the leader itself asked the candidate to take over.
struct vote_request {
  bool pre = false;
  bool transfer = false;
  log_index last_index;
  log_term last_term;
  friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_reply {
  bool pre = false;
  bool granted = false;
  friend bool operator==(const vote_reply&, const vote_reply&) = default;
};

/// `round` numbers the leader's heartbeat rounds within its term.
struct heartbeat {
  std::uint64_t round = 0;
  log_index commit;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

struct heartbeat_reply {
  std::uint64_t round = 0;
  friend bool operator==(const heartbeat_reply&,
                         const heartbeat_reply&) = default;
};

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
/// greatest index that may match. `nonce` is set by a member without state.
struct append_reply {
  std::uint64_t round = 0;
  bool success = false;
  log_index index;
  std::uint64_t nonce = 0;
  friend bool operator==(const append_reply&, const append_reply&) = default;
};

/// One part of a snapshot.
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

/// `received` is the number of bytes held of the snapshot `index`.
struct snapshot_reply {
  std::uint64_t round = 0;
  log_index index;
  std::uint64_t received = 0;
  friend bool operator==(const snapshot_reply&,
                         const snapshot_reply&) = default;
};

/// The leader asks the receiver to start an election immediately.
struct take_leadership {
  friend bool operator==(const take_leadership&,
                         const take_leadership&) = default;
};

/// Asks to become a standby, or reports that the leader was not heard from.
struct join_request {
  failure_domain_id domain;
  std::uint64_t nonce = 0;
  friend bool operator==(const join_request&, const join_request&) = default;
};

/// Answer to a join request; `leader` is empty when none is known.
struct join_reply {
  std::optional<member_id> leader;
  friend bool operator==(const join_reply&, const join_reply&) = default;
};

/// A member that shuts down asks to be removed.
struct leave_request {
  friend bool operator==(const leave_request&, const leave_request&) = default;
};

/// Sent by the first VM of the bootstrap list to the others.
struct bootstrap_query {
  friend bool operator==(const bootstrap_query&,
                         const bootstrap_query&) = default;
};

struct bootstrap_reply {
  bool has_group = false;
  failure_domain_id domain;
  std::uint64_t nonce = 0;
  friend bool operator==(const bootstrap_reply&,
                         const bootstrap_reply&) = default;
};

/// A restarted member asks its peers whether its disk is the newest one.
struct start_query {
  std::uint64_t starts = 0;
  /// Random number of this run, so that a repeated query is recognised.
  std::uint64_t run = 0;
  friend bool operator==(const start_query&, const start_query&) = default;
};

/// `stale` tells that another run with this number or a greater one is known.
/// `known_index` is the last index that the member has acknowledged to this
/// leader in the message's term.
struct start_reply {
  std::uint64_t run = 0;
  bool stale = false;
  log_index known_index;
  friend bool operator==(const start_reply&, const start_reply&) = default;
};

using raft_body =
    std::variant<vote_request, vote_reply, heartbeat, heartbeat_reply,
                 append_request, append_reply, snapshot_part, snapshot_reply,
                 take_leadership, join_request, join_reply, leave_request,
                 bootstrap_query, bootstrap_reply, start_query, start_reply>;

/// A message between two members. A zero `to.disk` means any member on that
/// VM; it is valid only for join_request and bootstrap_query.
struct raft_message {
  member_id from;
  member_id to;
  log_term term;
  raft_body body;

  friend bool operator==(const raft_message&, const raft_message&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_MESSAGE_H_
