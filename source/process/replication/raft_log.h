#ifndef MARJORAMSILL_PROCESS_REPLICATION_RAFT_LOG_H_
#define MARJORAMSILL_PROCESS_REPLICATION_RAFT_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "process/replication/log_entry.h"

namespace marjoramsill {

/// The log entries in memory. They follow a base position, which is the index
/// and term of the last entry before them.
class raft_log {
 public:
  /// Discards all entries and sets the base position.
  void Reset(log_index index, log_term term);
  void Append(log_entry entry);
  /// Discards the entries from `index` on.
  void TruncateFrom(log_index index);
  /// Discards the entries before `index`, which must be in the log.
  void CompactBefore(log_index index);

  log_index base_index() const { return base_index_; }
  log_index last_index() const;
  log_term last_term() const;
  std::size_t bytes() const { return bytes_; }
  std::size_t PayloadBytesAfter(log_index index) const;
  /// Empty if the index is before the base position or after the last entry.
  std::optional<log_term> TermAt(log_index index) const;
  /// Null if the entry is not in memory.
  const log_entry* Find(log_index index) const;
  /// Copies entries from `from` on, up to both limits, but at least one if
  /// there is any.
  std::vector<log_entry> Copy(log_index from, std::size_t max_entries,
                              std::size_t max_bytes) const;

 private:
  std::deque<log_entry> entries_;
  log_index base_index_;
  log_term base_term_;
  std::size_t bytes_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_RAFT_LOG_H_
