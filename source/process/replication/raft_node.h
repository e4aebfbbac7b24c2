#ifndef MARJORAMSILL_PROCESS_REPLICATION_RAFT_NODE_H_
#define MARJORAMSILL_PROCESS_REPLICATION_RAFT_NODE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/replication/group_configuration.h"
#include "process/replication/hard_state.h"
#include "process/replication/peer_progress.h"
#include "process/replication/raft_log.h"
#include "process/replication/raft_message.h"
#include "process/replication/raft_output.h"
#include "process/replication/raft_settings.h"
#include "process/replication/repair_plan.h"
#include "process/replication/snapshot.h"
#include "process/replication/storage_writes.h"
#include "types/random_source.h"
#include "types/result.h"
#include "types/steady_time.h"

namespace marjoramsill {

enum class propose_error {
  kNotLeader,
  kTransferring,
  /// Too many uncommitted bytes; retry later.
  kOverloaded,
  kTooLarge,
};

/// What a node is started with.
struct raft_start {
  member_id self;
  failure_domain_id domain;
  stored_state stored;
  /// VMs to ask for membership; normally all VMs with a data folder.
  std::vector<vm_id> peers;
  /// Voters of a new group. The first one decides the initial configuration
  /// once it has heard from all of them that no group exists yet.
  std::vector<vm_id> bootstrap_voters;
};

/// Position of a proposal. It is committed if the entry applied at `index`
/// has `term`; if another entry is applied there, it was lost.
struct log_position {
  log_index index;
  log_term term;
};

/// One member of a replicated group: a state machine without I/O. After every
/// input the caller takes the output, then writes, syncs and sends outside
/// its lock. Calls are not thread-safe. The time must not go backwards.
class raft_node {
 public:
  raft_node(raft_settings settings, raft_start start, random_source random,
            steady_time now);

  /// Call at least every 50 ms, or at NextDeadline().
  void Tick(steady_time now);
  void Receive(const raft_message& message, steady_time now);
  result<log_position, propose_error> Propose(std::string command,
                                              steady_time now);
  /// Answered by a read_outcome: immediately with a valid lease, otherwise
  /// after a majority has confirmed this leader.
  void RequestRead(std::uint64_t id, steady_time now);
  /// All writes up to this ticket are durable.
  void SyncCompleted(std::uint64_t ticket, steady_time now);
  /// Answer to raft_output::take_snapshot: state after entry `index`.
  void SnapshotTaken(log_index index, std::string data, steady_time now);
  /// Passes leadership to the most advanced voter; false if not possible.
  bool TransferLeadership(steady_time now);
  /// Planned shutdown: transfers leadership and asks to be removed.
  void Leave(steady_time now);

  raft_output TakeOutput();

  raft_role role() const { return role_; }
  log_term term() const { return state_.term; }
  const member_id& self() const { return start_.self; }
  const std::optional<member_id>& leader() const { return leader_; }
  const group_configuration& configuration() const { return configuration_; }
  /// Index of the entry that set the configuration in effect.
  log_index configuration_index() const { return configuration_index_; }
  log_index commit_index() const { return commit_; }
  log_index last_index() const { return log_.last_index(); }
  bool has_group() const { return !configuration_.members.empty(); }
  bool is_leaving() const { return leaving_; }
  /// False until a restarted member knows that its disk is the newest one.
  bool is_start_checked() const { return start_checked_; }

  /// End of the leader lease; empty when this member holds none. Compare it
  /// with a clock that is read after every pause, directly before acting.
  std::optional<steady_time> LeaseEnd() const;
  /// Time of the next Tick that has something to do.
  steady_time NextDeadline() const;

 private:
  using clock = steady_time;

  // raft_node.cc: start, dispatch, output.
  void LoadStored(steady_time now);
  bool AcceptsMessage(const raft_message& message, steady_time now);
  bool ObserveTerm(const raft_message& message, steady_time now);
  void Dispatch(const raft_message& message, steady_time now);
  void Send(const member_id& to, raft_body body);
  void SendWhenDurable(const member_id& to, raft_body body);
  void Enqueue(raft_message message, bool durable);
  storage_writes& PendingWrites();
  void WriteState();
  void NoteRole();
  bool IsEmpty() const { return !has_group(); }

  // raft_election.cc: terms, votes, leases.
  void BecomeFollower(log_term term, std::optional<member_id> leader,
                      steady_time now);
  void StartElection(bool pre, bool transfer, steady_time now);
  void BecomeLeader(steady_time now);
  void CountVotes(steady_time now);
  void ResetElectionTimer(steady_time now);
  bool HeardFromLeader(steady_time now) const;
  bool LogIsUpToDate(const vote_request& request) const;
  void CheckQuorum(steady_time now);
  void UpdateLease();
  void OnVoteRequest(const raft_message& message, const vote_request& request,
                     steady_time now);
  void OnVoteReply(const raft_message& message, const vote_reply& reply,
                   steady_time now);
  void OnTakeLeadership(const raft_message& message, steady_time now);
  void TickTransfer(steady_time now);

  // raft_replication.cc: log and commit.
  void AppendOwn(entry_kind kind, std::string payload, steady_time now);
  void Replicate(steady_time now);
  void ReplicateTo(const member_id& to, peer_progress& progress,
                   steady_time now);
  void BroadcastHeartbeat(steady_time now);
  void SendHeartbeat(const member_id& to, const peer_progress& progress);
  void AdvanceCommit(steady_time now);
  void CommitTo(log_index index);
  void ApplyCommitted();
  void NoteRound(peer_progress& progress, std::uint64_t round, steady_time now);
  void FollowLeader(const raft_message& message, steady_time now);
  void AppendReceived(const log_entry& entry);
  void OnHeartbeat(const raft_message& message, const heartbeat& body,
                   steady_time now);
  void OnAppend(const raft_message& message, const append_request& request,
                steady_time now);
  void OnAppendReply(const raft_message& message, const append_reply& reply,
                     steady_time now);
  void AnswerReads();
  peer_progress* ProgressOf(const member_id& id);

  // raft_snapshot.cc: snapshots and compaction.
  void SendSnapshotPart(const member_id& to, peer_progress& progress,
                        steady_time now);
  void OnSnapshotPart(const raft_message& message, const snapshot_part& part,
                      steady_time now);
  void OnSnapshotReply(const raft_message& message, const snapshot_reply& reply,
                       steady_time now);
  void InstallSnapshot(snapshot received);
  void RequestCompaction();

  // raft_membership.cc: configuration, joining, bootstrap, start check.
  void AdoptConfiguration(group_configuration configuration, log_index index,
                          steady_time now);
  void RevertConfiguration();
  void ProposeRepair(steady_time now);
  std::vector<member_health> CollectHealth(steady_time now) const;
  void TickJoin(steady_time now);
  void TickBootstrap(steady_time now);
  void Bootstrap(steady_time now);
  void OnJoinRequest(const raft_message& message, const join_request& request,
                     steady_time now);
  void OnBootstrapQuery(const raft_message& message);
  void OnBootstrapReply(const raft_message& message,
                        const bootstrap_reply& reply, steady_time now);
  void SendStartQueries(steady_time now);
  void OnStartQuery(const raft_message& message, const start_query& query);
  void OnStartReply(const raft_message& message, const start_reply& reply);

  const raft_settings settings_;
  raft_start start_;
  random_source random_;

  hard_state state_;
  raft_log log_;
  snapshot snapshot_;
  log_index commit_;
  log_index applied_;
  /// Last index that is durable here, in the log of the present term.
  log_index durable_;
  raft_role role_ = raft_role::kFollower;
  std::optional<member_id> leader_;
  group_configuration configuration_;
  log_index configuration_index_;
  /// Configurations by index that may still be reverted or compacted.
  std::map<std::uint64_t, group_configuration> configuration_history_;

  steady_time election_deadline_;
  steady_time last_leader_contact_;
  std::map<member_id, bool> votes_;
  bool campaign_is_transfer_ = false;
  /// Ticket that makes the own vote durable.
  std::uint64_t own_vote_ticket_ = 0;

  // Leader only.
  std::map<member_id, peer_progress> progress_;
  std::map<std::uint64_t, steady_time> rounds_;
  std::uint64_t round_ = 0;
  steady_time next_heartbeat_;
  std::optional<steady_time> commit_notice_at_;
  steady_time leader_since_;
  log_index term_start_index_;
  std::optional<steady_time> lease_end_;
  /// After a transfer was started, a vote may bypass the lease of this term.
  bool lease_renounced_ = false;
  std::optional<member_id> transfer_to_;
  steady_time transfer_deadline_;
  struct pending_read {
    std::uint64_t id = 0;
    std::uint64_t round = 0;
    log_index index;
    bool confirmed = false;
  };
  std::deque<pending_read> reads_;
  std::size_t uncommitted_bytes_ = 0;

  // Joining, bootstrap and start check.
  std::uint64_t nonce_ = 0;
  std::optional<member_id> nonce_holder_;
  steady_time next_join_;
  std::optional<member_id> join_hint_;
  bool group_seen_elsewhere_ = false;
  std::map<vm_id, std::pair<group_member, std::uint64_t>> bootstrap_replies_;
  bool start_checked_ = true;
  std::map<member_id, bool> start_replies_;
  steady_time next_start_query_;
  bool stale_disk_ = false;
  bool leaving_ = false;
  steady_time next_leave_;
  steady_time next_repair_;

  // Snapshot being received.
  struct incoming_snapshot {
    member_id from;
    log_index index;
    log_term term;
    group_configuration configuration;
    std::string data;
  };
  std::optional<incoming_snapshot> incoming_;
  bool snapshot_requested_ = false;

  // Output.
  struct held_message {
    std::uint64_t ticket = 0;
    raft_message message;
  };
  std::uint64_t last_ticket_ = 0;
  std::uint64_t synced_ticket_ = 0;
  std::deque<held_message> held_;
  std::deque<std::pair<std::uint64_t, log_index>> durable_marks_;
  raft_output output_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_NODE_H_
