#ifndef MARJORAMSILL_PROCESS_REPLICATION_RAFT_NODE_H_
#define MARJORAMSILL_PROCESS_REPLICATION_RAFT_NODE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
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
  /// Too many uncommitted bytes; the caller may retry later.
  kOverloaded,
  kTooLarge,
};

/// Parameters and stored state with which a node starts.
struct raft_start {
  member_id self;
  failure_domain_id domain;
  stored_state stored;
  /// VMs to which join requests are sent; normally all VMs with a data folder.
  std::vector<vm_id> peers;
  /// Voters of a new group. The first one sets the initial configuration after
  /// all others have responded that they know of no group.
  std::vector<vm_id> bootstrap_voters;
};

/// Position of a proposal in the log. The proposal is committed if the entry
/// applied at `index` has this term. If it has another term, the proposal was
/// lost.
struct log_position {
  log_index index;
  log_term term;
};

/// One member of a replicated group, implemented as a state machine without
/// I/O. After every input the caller takes the output, then writes, syncs and
/// sends without holding its lock. Not thread-safe. An earlier `now` than that
/// of a previous call is treated as equal to it.
class raft_node {
 public:
  raft_node(raft_settings settings, raft_start start, random_source random,
            steady_time now);

  /// To be called at NextDeadline(), or at least every 50 ms.
  void Tick(steady_time now);
  void Receive(const raft_message& message, steady_time now);
  result<log_position, propose_error> Propose(std::string command,
                                              steady_time now);
  /// Requests a linearizable read. Its read_outcome follows with the next
  /// output if the lease is valid, otherwise after a majority has confirmed
  /// this leader.
  void RequestRead(std::uint64_t id, steady_time now);
  /// Reports that all writes up to this ticket are durable.
  void SyncCompleted(std::uint64_t ticket, steady_time now);
  /// Provides the snapshot that raft_output::take_snapshot requested: the state
  /// after entry `index`.
  void SnapshotTaken(log_index index, std::string data, steady_time now);
  /// Starts a leadership transfer to the reachable voter with the most
  /// up-to-date log. Returns false if there is none or this is not the leader.
  bool TransferLeadership(steady_time now);
  /// Starts a planned shutdown: transfers leadership and requests the removal
  /// of this member.
  void Leave(steady_time now);
  /// Replaces the VMs to which join requests are sent, because the VMs known at
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
  /// True once the removal that Leave() requested is committed.
  bool has_left() const { return left_; }
  /// False until a restarted member has confirmed that the state on its disk is
  /// not older than what it has acknowledged.
  bool is_start_checked() const { return start_checked_; }

  /// End of the leader lease; empty if this member holds none. Compare it with
  /// a clock reading taken directly before acting, because the process may have
  /// been paused.
  std::optional<steady_time> LeaseEnd() const;
  /// Latest time at which Tick must be called next.
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
  /// Sends the message once all writes so far, including pending ones, are
  /// durable.
  void SendWhenDurable(const member_id& to, raft_body body);
  storage_writes& PendingWrites();
  void WriteState();
  void ReportRoleChange();
  /// True if no configuration is known, that is, this member belongs to no
  /// group yet.
  bool IsEmpty() const { return !has_group(); }

  // raft_election.cc: terms, votes, leases, leadership transfer.
  void BecomeFollower(log_term new_term, std::optional<member_id> leader,
                      steady_time now);
  void StartElection(bool pre_vote, bool transfer, steady_time now);
  void BecomeLeader(steady_time now);
  void CountVotes(steady_time now);
  void ResetElectionTimer(steady_time now);
  void RetryElectionSoon(steady_time now);
  bool HasRecentLeaderContact(steady_time now) const;
  bool LogIsUpToDate(const vote_request& request) const;
  void CheckQuorum(steady_time now);
  void UpdateLease();
  void OnVoteRequest(const raft_message& message, const vote_request& request,
                     steady_time now);
  void OnVoteResponse(const raft_message& message,
                      const vote_response& response, steady_time now);
  void OnTimeoutNow(const raft_message& message, steady_time now);
  void TickTransfer(steady_time now);

  // raft_replication.cc: log, commit, reads.
  void AppendAsLeader(entry_kind kind, std::string payload, steady_time now);
  void AppendEntry(log_entry entry, steady_time now);
  void TruncateLog(log_index from);
  void DiscardHeldAppendResponses();
  peer_progress* ProgressOf(const member_id& id);
  void Replicate(steady_time now);
  void ReplicateTo(const member_id& to, peer_progress& progress,
                   steady_time now);
  void ResendLost(const member_id& to, peer_progress& progress,
                  steady_time now);
  void BroadcastHeartbeat(steady_time now);
  void SendHeartbeat(const member_id& to, peer_progress& progress);
  void NotifyCommit();
  void RecordRound(peer_progress& progress, std::uint64_t round,
                   steady_time now);
  void AdvanceCommit(steady_time now);
  void CommitTo(log_index index);
  void ApplyCommitted();
  bool FollowLeader(const raft_message& message, steady_time now);
  void OnHeartbeat(const raft_message& message, const heartbeat& body);
  void OnHeartbeatResponse(const raft_message& message,
                           const heartbeat_response& response, steady_time now);
  void OnAppend(const raft_message& message, const append_request& request,
                steady_time now);
  void OnAppendResponse(const raft_message& message,
                        const append_response& response, steady_time now);
  void OnMatch(peer_progress& progress, log_index index, steady_time now);
  void CompleteReads();

  // raft_snapshot.cc: snapshots and compaction.
  void StartSnapshot(const member_id& to, peer_progress& progress,
                     steady_time now);
  void SendRequestedSnapshots(steady_time now);
  bool IsSnapshotShorter(log_index match) const;
  void SendSnapshotPart(const member_id& to, peer_progress& progress,
                        steady_time now);
  void OnSnapshotPart(const raft_message& message, const snapshot_part& part,
                      steady_time now);
  void OnSnapshotResponse(const raft_message& message,
                          const snapshot_response& response, steady_time now);
  void InstallSnapshot(snapshot received, steady_time now);
  void RequestCompaction();
  void RequestSnapshot();

  // raft_membership.cc: configuration, repair, joining, leaving.
  void AdoptConfiguration(group_configuration configuration, log_index index,
                          steady_time now);
  void RevertConfiguration(log_index from);
  void UpdateProgressRecords(steady_time now);
  bool MayChangeConfiguration() const;
  void ProposeConfiguration(const group_configuration& next, steady_time now);
  void ProposeRepair(steady_time now);
  std::chrono::microseconds ContactTimeout(const member_id& id) const;
  std::vector<member_health> CollectHealth(steady_time now) const;
  void TickLeave(steady_time now);
  void TickJoin(steady_time now);
  void OnJoinRequest(const raft_message& message, const join_request& request,
                     steady_time now);
  void OnJoinResponse(const raft_message& message,
                      const join_response& response);
  void OnLeaveRequest(const raft_message& message);

  // raft_start.cc: bootstrap and start check.
  void TickBootstrap(steady_time now);
  void Bootstrap(steady_time now);
  void OnBootstrapQuery(const raft_message& message);
  void OnBootstrapResponse(const raft_message& message,
                           const bootstrap_response& response, steady_time now);
  void SendStartQueries(steady_time now);
  std::set<vm_id> StartQueryVms() const;
  const group_configuration& StartConfiguration() const;
  void OnStartQuery(const raft_message& message, const start_query& query);
  void OnStartResponse(const raft_message& message,
                       const start_response& response);
  void EvaluateStartCheck();
  void EraseRemovedStarts();

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
  /// Last index that is durable on this member, in the current log.
  log_index durable_;
  raft_role role_ = raft_role::kFollower;
  std::optional<member_id> leader_;
  group_configuration configuration_;
  log_index configuration_index_;
  /// Configurations by log index, as far back as the snapshot. Needed to revert
  /// a truncated one and to write snapshots.
  std::map<std::uint64_t, group_configuration> configuration_history_;

  /// Payload bytes applied since the last snapshot.
  std::size_t applied_bytes_ = 0;

  steady_time election_deadline_;
  steady_time last_leader_contact_;
  std::map<member_id, bool> votes_;
  /// Ticket of the write that makes the candidate's vote for itself durable.
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
  /// Set when a leadership transfer was started: votes for the target bypass
  /// the lease, so it cannot be used any more in this term.
  bool lease_disabled_ = false;
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
  std::optional<member_id> nonce_recipient_;
  steady_time next_join_;
  std::optional<member_id> join_hint_;
  bool group_seen_elsewhere_ = false;
  steady_time next_bootstrap_;
  std::map<vm_id, group_member> bootstrap_responses_;
  log_term bootstrap_term_;
  bool start_checked_ = true;
  std::uint64_t run_ = 0;
  std::set<member_id> start_responses_;
  /// Newest configuration in a response to a start query.
  group_configuration reported_configuration_;
  log_index reported_configuration_index_;
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
  role_change reported_role_;
  raft_output output_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_NODE_H_
