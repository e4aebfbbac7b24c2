#ifndef MARJORAMSILL_PROCESS_REPLICATION_PEER_PROGRESS_H_
#define MARJORAMSILL_PROCESS_REPLICATION_PEER_PROGRESS_H_

#include <cstddef>
#include <cstdint>

#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// What a leader knows of one other member.
struct peer_progress {
  /// Last index known to be durable on the member.
  log_index match;
  log_index next;
  /// While probing one request at a time is sent, until the logs match.
  bool probing = true;
  std::size_t in_flight = 0;
  /// When the last request was sent; it is repeated after a timeout.
  steady_time sent_at;
  /// A snapshot is being sent; `offset` is the part to send next.
  bool sending_snapshot = false;
  log_index snapshot_index;
  std::uint64_t snapshot_offset = 0;
  /// Newest round that the member has answered, and when it was sent.
  std::uint64_t round = 0;
  steady_time round_sent_at;
  steady_time last_heard;
  log_index commit_sent;
  /// Set by a member without state; needed to install a snapshot there.
  std::uint64_t nonce = 0;
  bool leaving = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_PEER_PROGRESS_H_
