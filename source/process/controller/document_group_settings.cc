#include "process/controller/document_group_settings.h"

#include <chrono>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Largest document after compression.
constexpr std::size_t kMaxCommandBytes = std::size_t{4} * 1024 * 1024;

}  // namespace

// There are few control processes, so heartbeats can be frequent, and a lost
// leader is replaced well within the timeouts of operators and endpoints.
raft_settings DocumentGroupSettings(std::size_t tolerated_losses) {
  raft_settings group;
  group.heartbeat_interval = milliseconds(120);
  group.election_timeout_min = milliseconds(450);
  group.election_timeout_max = milliseconds(800);
  group.commit_notice_delay = milliseconds(5);
  group.max_command_bytes = kMaxCommandBytes;
  // A request takes less than a heartbeat interval on a link of 6 Mbit/s.
  group.max_append_bytes = std::size_t{64} * 1024;
  group.compaction_entries = 512;
  group.compaction_bytes = std::size_t{4} * 1024 * 1024;
  group.retained_entries = 64;
  // A majority must remain after the tolerated losses.
  group.target_voters = 2 * tolerated_losses + 1;
  group.kept_voters = group.target_voters;
  group.demote_after = milliseconds(3'000);
  group.remove_after = milliseconds(20'000);
  // Disks are either lost or kept, never rolled back to an older state. So the
  // check for rolled-back disks need not delay a group that has only a bare
  // majority.
  group.start_check_timeout = milliseconds(400);
  return group;
}

}  // namespace marjoramsill
