#ifndef MARJORAMSILL_PROCESS_REPLICATION_PEER_PROGRESS_H_
#define MARJORAMSILL_PROCESS_REPLICATION_PEER_PROGRESS_H_

#include <cstdint>

#include "process/replication/append_window.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The leader's replication state of one other member.
struct peer_progress {
  /// Last index known to be durable on the member.
  log_index match;
  log_index next;
  /// While probing, only one append request is in flight at a time, until the
  /// logs match.
  bool probing = true;
  /// Append requests and snapshot parts in flight.
  append_window window;
  /// A snapshot is being sent; the next part starts at `snapshot_offset`. It
  /// waits for a new snapshot while `window` is idle.
  bool sending_snapshot = false;
  log_index snapshot_index;
  std::uint64_t snapshot_offset = 0;
  /// Latest heartbeat round that the member has responded to, and when that
  /// round was sent.
  std::uint64_t round = 0;
  steady_time round_sent_at;
  steady_time last_contact;
  log_index commit_sent;
  /// Received from a member without state; a snapshot for it must carry this
  /// number.
  std::uint64_t nonce = 0;
  bool leaving = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_PEER_PROGRESS_H_
