#ifndef MARJORAMSILL_PROCESS_REPLICATION_RAFT_SETTINGS_H_
#define MARJORAMSILL_PROCESS_REPLICATION_RAFT_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace marjoramsill {

/// Settings of a replicated group. They must be equal on all members.
struct raft_settings {
  /// Long, because the heartbeats of nine groups make up the idle control
  /// traffic.
  std::chrono::milliseconds heartbeat_interval{700};
  /// Exceeds two heartbeat intervals, so that one lost heartbeat does not cause
  /// an election. The lease may expire before the next heartbeat; reads are
  /// then confirmed by a majority.
  std::chrono::milliseconds election_timeout_min{1500};
  std::chrono::milliseconds election_timeout_max{2000};
  /// Length of a lease in percent of election_timeout_min. The rest is a margin
  /// for clocks that advance at different rates.
  int lease_percent = 90;
  /// Standbys receive only every n-th heartbeat.
  std::uint32_t standby_heartbeat_every = 4;
  /// Maximum delay before followers are sent a new commit index.
  std::chrono::milliseconds commit_notice_delay{20};

  std::size_t max_command_bytes = std::size_t{1024} * 1024;
  std::size_t max_append_bytes = std::size_t{256} * 1024;
  std::size_t max_append_entries = 1024;
  /// Maximum number of append requests in flight to one member.
  std::size_t max_appends_in_flight = 8;
  /// Proposals that would raise the uncommitted payload above this are refused.
  std::size_t max_uncommitted_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t snapshot_part_bytes = std::size_t{64} * 1024;

  /// A snapshot is requested when the log exceeds one of these.
  std::uint64_t compaction_entries = 8192;
  std::size_t compaction_bytes = std::size_t{16} * 1024 * 1024;
  /// Entries kept in the log before the snapshot index, so that members that
  /// lag slightly need no snapshot.
  std::uint64_t retained_entries = 1024;

  std::size_t target_voters = 5;
  /// A repair keeps at least this many voters, unresponsive ones included, as
  /// long as their disks may be intact. With 2n + 1 voters, n lost disks leave
  /// a majority. With 0, a group shrinks to three responsive voters.
  std::size_t kept_voters = 0;
  std::size_t max_members = 9;
  /// A voter without contact for this time is demoted to a standby.
  std::chrono::milliseconds demote_after{10'000};
  /// A standby without contact for this time is removed from the group.
  std::chrono::milliseconds remove_after{60'000};
  /// After this time a restarted voter counts itself in its start check, so
  /// that a group can still start with a bare majority. Must be less than
  /// remove_after.
  std::chrono::milliseconds start_check_timeout{10'000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_SETTINGS_H_
