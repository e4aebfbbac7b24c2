#ifndef MARJORAMSILL_PROCESS_REPLICATION_STORAGE_WRITES_H_
#define MARJORAMSILL_PROCESS_REPLICATION_STORAGE_WRITES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/replication/hard_state.h"
#include "process/replication/log_entry.h"
#include "process/replication/snapshot.h"

namespace marjoramsill {

/// Changes to make durable, in the order of the fields. After a sync that
/// covers them, the writer reports `ticket` to the node. Several writes may
/// share one sync; only the last ticket needs to be reported.
struct storage_writes {
  std::uint64_t ticket = 0;
  /// Replaces the stored snapshot. It must be durable before the other changes
  /// are written.
  std::optional<snapshot> stored_snapshot;
  /// Everything stored before is discarded, because the snapshot holds all that
  /// is needed. Also after a failure, which then is over.
  bool replaces_all = false;
  /// The entire stored log is discarded, because the snapshot replaces it.
  bool reset_log = false;
  /// Entries from this index on are discarded.
  std::optional<log_index> truncate_from;
  /// Entries before this index are no longer needed.
  std::optional<log_index> compact_before;
  std::optional<hard_state> state;
  std::vector<log_entry> entries;
};

/// State read from the disk at start.
struct stored_state {
  hard_state state;
  std::optional<snapshot> stored_snapshot;
  /// Contiguous. The first entry may precede the snapshot's index.
  std::vector<log_entry> entries;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_STORAGE_WRITES_H_
