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
  /// Replaces the VMs that are asked for membership, because those known at
  /// the start may have been replaced.
  void SetPeers(std::vector<vm_id> peers) { start_.peers = std::move(peers); }

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
  /// The removal that Leave() asked for is committed.
  bool has_left() const { return left_; }
  /// False until a restarted member knows that its disk is the newest one.
  bool is_start_checked() const { return start_checked_; }

  /// End of the leader lease; empty when this member holds none. Compare it
  /// with a clock that is read after every pause, directly before acting.
  std::optional<steady_time> LeaseEnd() const;
  /// Time of the next Tick that has something to do.
  steady_time NextDeadline() const;

 private:
  // raft_node.cc: start, dispatch, output.
  void LoadStored(steady_time now);
  void TickLeader(steady_time now);
  bool AcceptsMessage(const raft_message& message) const;
  bool DispatchWithoutTerm(const raft_message& message, steady_time now);
  bool ObserveTerm(const raft_message& message, steady_time now);
  void Dispatch(const raft_message& message, steady_time now);
  void Send(const member_id& to, raft_body body);
  /// Sends once everything written so far, or about to be, is durable.
  void SendWhenDurable(const member_id& to, raft_body body);
  storage_writes& PendingWrites();
  void WriteState();
  void NoteRole();
  /// No configuration is known: this member belongs to no group yet.
  bool IsEmpty() const { return !has_group(); }

  // raft_election.cc: terms, votes, leases, transfer.
  void BecomeFollower(log_term new_term, std::optional<member_id> leader,
                      steady_time now);
  void StartElection(bool pre, bool transfer, steady_time now);
  void BecomeLeader(steady_time now);
  void CountVotes(steady_time now);
  void ResetElectionTimer(steady_time now);
  void RetryElectionSoon(steady_time now);
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

  // raft_replication.cc: log, commit, reads.
  void AppendOwn(entry_kind kind, std::string payload, steady_time now);
  void AppendEntry(log_entry entry, steady_time now);
  void TruncateLog(log_index from);
  void DropHeldAppendReplies();
  peer_progress* ProgressOf(const member_id& id);
  void Replicate(steady_time now);
  void ReplicateTo(const member_id& to, peer_progress& progress,
                   steady_time now);
  void RepeatLost(const member_id& to, peer_progress& progress,
                  steady_time now);
  void BroadcastHeartbeat(steady_time now);
  void SendHeartbeat(const member_id& to, peer_progress& progress);
  void NotifyCommit();
  void NoteRound(peer_progress& progress, std::uint64_t round, steady_time now);
  void AdvanceCommit(steady_time now);
  void CommitTo(log_index index);
  void ApplyCommitted();
  bool FollowLeader(const raft_message& message, steady_time now);
  void OnHeartbeat(const raft_message& message, const heartbeat& body);
  void OnHeartbeatReply(const raft_message& message,
                        const heartbeat_reply& reply, steady_time now);
  void OnAppend(const raft_message& message, const append_request& request,
                steady_time now);
  void OnAppendReply(const raft_message& message, const append_reply& reply,
                     steady_time now);
  void OnMatch(peer_progress& progress, log_index index, steady_time now);
  void AnswerReads();

  // raft_snapshot.cc: snapshots and compaction.
  void StartSnapshot(const member_id& to, peer_progress& progress,
                     steady_time now);
  void SendSnapshotPart(const member_id& to, peer_progress& progress,
                        steady_time now);
  void OnSnapshotPart(const raft_message& message, const snapshot_part& part,
                      steady_time now);
  void OnSnapshotReply(const raft_message& message, const snapshot_reply& reply,
                       steady_time now);
  void InstallSnapshot(snapshot received, steady_time now);
  void RequestCompaction();

  // raft_membership.cc: configuration, repair, joining, leaving.
  void AdoptConfiguration(group_configuration configuration, log_index index,
                          steady_time now);
  void RevertConfiguration(log_index from);
  void SyncProgress(steady_time now);
  bool MayChangeConfiguration() const;
  void ProposeConfiguration(const group_configuration& next, steady_time now);
  void ProposeRepair(steady_time now);
  std::chrono::microseconds ContactLimit(const member_id& id) const;
  std::vector<member_health> CollectHealth(steady_time now) const;
  void TickLeave(steady_time now);
  void TickJoin(steady_time now);
  void OnJoinRequest(const raft_message& message, const join_request& request,
                     steady_time now);
  void OnJoinReply(const raft_message& message, const join_reply& reply);
  void OnLeaveRequest(const raft_message& message);

  // raft_start.cc: bootstrap and start check.
  void TickBootstrap(steady_time now);
  void Bootstrap(steady_time now);
  void OnBootstrapQuery(const raft_message& message);
  void OnBootstrapReply(const raft_message& message,
                        const bootstrap_reply& reply, steady_time now);
  void SendStartQueries(steady_time now);
  void OnStartQuery(const raft_message& message, const start_query& query);
  void OnStartReply(const raft_message& message, const start_reply& reply);
  void NoteStartReplies();
  void ForgetRemovedStarts();

  const raft_settings settings_;
  raft_start start_;
  random_source random_;
  steady_time last_now_;
  steady_time started_at_;

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

  /// Applied since the last snapshot.
  std::size_t applied_bytes_ = 0;

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
  steady_time next_transfer_;
  /// Entries were appended since the last output.
  bool replicate_needed_ = false;
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
  steady_time next_bootstrap_;
  std::map<vm_id, group_member> bootstrap_replies_;
  log_term bootstrap_term_;
  bool start_checked_ = true;
  std::uint64_t run_ = 0;
  std::map<member_id, bool> start_replies_;
  steady_time next_start_query_;
  bool stale_disk_ = false;
  bool leaving_ = false;
  bool left_ = false;
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
  role_change noted_role_;
  raft_output output_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_NODE_H_
