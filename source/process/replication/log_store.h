#ifndef MARJORAMSILL_PROCESS_REPLICATION_LOG_STORE_H_
#define MARJORAMSILL_PROCESS_REPLICATION_LOG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "process/replication/file_folder.h"
#include "process/replication/storage_codec.h"
#include "process/replication/storage_writes.h"

namespace marjoramsill {

/// Durable state of one group in one folder: segment files of checksummed
/// records and one snapshot file. Any error is fatal to the member. After a
/// loss of power each write since the last sync may be present, missing or
/// torn, so a state or entry record names how far its segment was durable when
/// it was written: damage behind that point is cut, damage before it is an
/// error.
class log_store {
 public:
  /// The folder must outlive the store. A new segment is started when the last
  /// one has reached `segment_bytes`.
  explicit log_store(file_folder& folder,
                     std::size_t segment_bytes = std::size_t{4} * 1024 * 1024);

  /// Reads the stored state, cuts what was not durable at a loss of power and
  /// syncs the rest, because a killed process may have left unsynced records.
  result<stored_state, storage_error> Open();
  /// Performs the writes. They are durable after the next Sync.
  result<void, storage_error> Write(const storage_writes& writes);
  result<void, storage_error> Sync();

 private:
  struct segment {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    /// Greatest entry index in the segment.
    log_index last;
    /// Bytes that are durable.
    std::size_t synced = 0;
  };
  /// Returns the payload of a record in a segment with so many durable bytes.
  using payload_encoder = std::function<std::string(std::uint64_t synced)>;

  result<void, storage_error> ReadSnapshot(stored_state& state);
  result<void, storage_error> ReadSegment(std::uint64_t number, bool last,
                                          stored_state& state);
  /// Replays records up to the end of the segment or the first damaged record.
  /// Returns the offset at which it stopped.
  result<std::size_t, storage_error> ReadRecords(const std::string& bytes,
                                                 segment& read,
                                                 stored_state& state);
  result<void, storage_error> Reconcile(stored_state& state);
  result<void, storage_error> StartSegment();
  result<void, storage_error> AppendState();
  result<void, storage_error> AppendEntry(const log_entry& entry);
  result<void, storage_error> AppendRecord(record_type type,
                                           const payload_encoder& encode);
  result<void, storage_error> WriteRecords(const storage_writes& writes);
  /// Replaces snapshot and segments by the snapshot.
  result<void, storage_error> ReplaceAll(const snapshot& all);
  result<void, storage_error> SyncRecords();
  result<void, storage_error> RemoveSegments();
  result<void, storage_error> RecordFailure(
      result<void, storage_error> outcome);

  file_folder& folder_;
  const std::size_t segment_bytes_;
  std::deque<segment> segments_;
  /// Number of the newest segment so far.
  std::uint64_t last_number_ = 0;
  hard_state state_;
  bool dirty_ = false;
  std::optional<log_index> remove_before_;
  /// First failure; every later call returns it, but for a write that replaces
  /// all.
  std::optional<storage_error> failed_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_LOG_STORE_H_
