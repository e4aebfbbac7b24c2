#include "process/replication/log_store.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace marjoramsill {
namespace {

constexpr std::string_view kSegmentPrefix = "segment-";
constexpr const char* kSnapshotName = "snapshot";

std::string SegmentName(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kSegmentPrefix) +
         std::string(digits.size() < 20 ? 20 - digits.size() : 0, '0') + digits;
}

std::optional<std::uint64_t> SegmentNumber(const std::string& name) {
  if (!name.starts_with(kSegmentPrefix)) return std::nullopt;
  std::uint64_t number = 0;
  const char* begin = name.data() + kSegmentPrefix.size();
  const char* end = name.data() + name.size();
  const auto [stop, error] = std::from_chars(begin, end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

storage_error CorruptionError(const std::string& file, std::size_t offset,
                              std::string detail) {
  return {storage_error_kind::kCorrupt, file, offset, std::move(detail)};
}

/// True if a record behind `offset` shows that the bytes at `offset` were
/// durable when it was written. Otherwise they belong to a write that was lost
/// with the power, while a later one was kept.
bool WasSynced(std::string_view bytes, std::uint64_t segment,
               std::size_t offset) {
  for (std::size_t i = offset + 1; i + kRecordHeaderBytes <= bytes.size();
       ++i) {
    const auto record = ReadRecord(bytes, segment, i);
    if (!record) continue;
    const bool names_synced_bytes = record->type == record_type::kState ||
                                    record->type == record_type::kEntry;
    if (!names_synced_bytes) continue;
    // A record of an earlier build does not name its synced bytes, so it counts
    // as evidence.
    const auto synced = DecodeSyncedBytes(*record);
    if (!synced || *synced > offset) return true;
  }
  return false;
}

std::string EncodeNothing(std::uint64_t /*synced*/) { return {}; }

/// Replays one record into `state`. Returns the reason if the record is invalid
/// at this position.
std::optional<std::string> Replay(const record_view& record,
                                  stored_state& state, log_index& last) {
  std::vector<log_entry>& entries = state.entries;
  if (record.type == record_type::kState) {
    auto decoded = DecodeState(record.payload);
    if (!decoded) return "undecodable state record";
    state.state = std::move(*decoded);
  } else if (record.type == record_type::kEntry) {
    auto decoded = DecodeLogEntry(record.payload);
    if (!decoded) return "undecodable entry record";
    if (!entries.empty() && decoded->index != entries.back().index.Next()) {
      return "entry " + std::to_string(decoded->index.value()) +
             " follows entry " + std::to_string(entries.back().index.value());
    }
    last = std::max(last, decoded->index);
    entries.push_back(std::move(*decoded));
  } else if (record.type == record_type::kTruncate) {
    const auto from = DecodeIndex(record.payload);
    if (!from) return "undecodable truncate record";
    while (!entries.empty() && entries.back().index >= *from) {
      entries.pop_back();
    }
  } else {
    entries.clear();
  }
  return std::nullopt;
}

}  // namespace

log_store::log_store(file_folder& folder, std::size_t segment_bytes)
    : folder_(folder), segment_bytes_(segment_bytes) {}

result<stored_state, storage_error> log_store::Open() {
  auto names = folder_.List();
  if (!names) return failure(names.error());
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : names.value()) {
    if (name.ends_with(".tmp")) {
      auto removed = folder_.Remove(name);
      if (!removed) return failure(removed.error());
    } else if (auto number = SegmentNumber(name)) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  stored_state state;
  const bool has_snapshot =
      std::find(names.value().begin(), names.value().end(), kSnapshotName) !=
      names.value().end();
  if (has_snapshot) {
    auto read = ReadSnapshot(state);
    if (!read) return failure(read.error());
  }
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && numbers[i] != numbers[i - 1] + 1) {
      return failure(CorruptionError(SegmentName(numbers[i - 1] + 1), 0,
                                     "segment is missing"));
    }
    auto read = ReadSegment(numbers[i], i + 1 == numbers.size(), state);
    if (!read) return failure(read.error());
  }
  auto reconciled = Reconcile(state);
  if (!reconciled) return failure(reconciled.error());
  return state;
}

result<void, storage_error> log_store::ReadSnapshot(stored_state& state) {
  auto bytes = folder_.Read(kSnapshotName);
  if (!bytes) return failure(bytes.error());
  state.stored_snapshot.emplace();
  switch (DecodeSnapshotFile(bytes.value(), *state.stored_snapshot)) {
    case header_state::kValid:
      return success();
    case header_state::kUnknownVersion:
      return failure(storage_error{storage_error_kind::kUnknownVersion,
                                   kSnapshotName, 4, "snapshot format"});
    case header_state::kDamaged:
      break;
  }
  return failure(CorruptionError(kSnapshotName, 0, "checksum does not match"));
}

result<void, storage_error> log_store::ReadSegment(std::uint64_t number,
                                                   bool last,
                                                   stored_state& state) {
  const std::string name = SegmentName(number);
  auto bytes = folder_.Read(name);
  if (!bytes) return failure(bytes.error());
  const std::string& data = bytes.value();
  const header_state header = CheckSegmentHeader(data, number);
  if (header == header_state::kUnknownVersion) {
    return failure(storage_error{storage_error_kind::kUnknownVersion, name, 4,
                                 "segment format"});
  }
  if (header == header_state::kDamaged) {
    const bool torn = last && !WasSynced(data, number, 0);
    if (!torn) return failure(CorruptionError(name, 0, "damaged header"));
    return folder_.Remove(name);
  }
  segment read{number, data.size(), log_index(), 0};
  auto end = ReadRecords(data, read, state);
  if (!end) return failure(end.error());
  if (end.value() < data.size()) {
    if (!last || WasSynced(data, number, end.value())) {
      return failure(CorruptionError(name, end.value(), "damaged record"));
    }
    auto cut = folder_.Truncate(name, end.value());
    if (!cut) return failure(cut.error());
    read.bytes = end.value();
  } else if (last) {
    auto synced = folder_.Sync(name);
    if (!synced) return failure(synced.error());
  }
  read.synced = read.bytes;
  segments_.push_back(read);
  last_number_ = number;
  return success();
}

result<std::size_t, storage_error> log_store::ReadRecords(
    const std::string& bytes, segment& read, stored_state& state) {
  std::size_t offset = kSegmentHeaderBytes;
  while (auto record = ReadRecord(bytes, read.number, offset)) {
    if (auto reason = Replay(*record, state, read.last)) {
      return failure(
          CorruptionError(SegmentName(read.number), offset, *reason));
    }
    offset += record->size;
  }
  return offset;
}

/// Makes log and snapshot consistent if the process stopped between writing the
/// snapshot and resetting the log.
result<void, storage_error> log_store::Reconcile(stored_state& state) {
  state_ = state.state;
  std::vector<log_entry>& entries = state.entries;
  if (entries.empty()) return success();
  if (!state.stored_snapshot) {
    return failure(CorruptionError(kSnapshotName, 0,
                                   "missing although log entries exist"));
  }
  const snapshot& base = *state.stored_snapshot;
  const log_index first = entries.front().index;
  if (first > base.index.Next()) {
    return failure(CorruptionError(SegmentName(segments_.front().number), 0,
                                   "entries after the snapshot are missing"));
  }
  bool replaced = entries.back().index < base.index;
  if (!replaced && first <= base.index) {
    const std::size_t at = base.index.value() - first.value();
    replaced = entries[at].term != base.term;
  }
  if (!replaced) return success();
  entries.clear();
  auto reset = AppendRecord(record_type::kReset, EncodeNothing);
  if (!reset) return reset;
  return SyncRecords();
}

result<void, storage_error> log_store::StartSegment() {
  if (!segments_.empty()) {
    // Only the last segment may hold writes that are not durable.
    auto synced = folder_.Sync(SegmentName(segments_.back().number));
    if (!synced) return synced;
    segments_.back().synced = segments_.back().bytes;
  }
  const std::uint64_t number = ++last_number_;
  auto written =
      folder_.Append(SegmentName(number), EncodeSegmentHeader(number));
  if (!written) return written;
  segments_.push_back({number, kSegmentHeaderBytes, log_index(), 0});
  dirty_ = true;
  // Each segment starts with the hard state, so that older segments can be
  // removed.
  return AppendState();
}

result<void, storage_error> log_store::AppendState() {
  return AppendRecord(record_type::kState, [this](std::uint64_t synced) {
    return EncodeState(state_, synced);
  });
}

result<void, storage_error> log_store::AppendEntry(const log_entry& entry) {
  auto written = AppendRecord(
      record_type::kEntry,
      [&entry](std::uint64_t synced) { return EncodeLogEntry(entry, synced); });
  if (!written) return written;
  segments_.back().last = std::max(segments_.back().last, entry.index);
  return success();
}

result<void, storage_error> log_store::AppendRecord(
    record_type type, const payload_encoder& encode) {
  if (segments_.empty() || segments_.back().bytes >= segment_bytes_) {
    auto started = StartSegment();
    if (!started) return started;
  }
  segment& active = segments_.back();
  const std::string record =
      EncodeRecord(type, encode(active.synced), active.number, active.bytes);
  auto written = folder_.Append(SegmentName(active.number), record);
  if (!written) return written;
  active.bytes += record.size();
  dirty_ = true;
  return success();
}

result<void, storage_error> log_store::Write(const storage_writes& writes) {
  if (writes.replaces_all) {
    auto replaced = RecordFailure(ReplaceAll(*writes.stored_snapshot));
    if (!replaced) return replaced;
    failed_.reset();
    return success();
  }
  if (!failed_) return RecordFailure(WriteRecords(writes));
  return failure(*failed_);
}

result<void, storage_error> log_store::Sync() {
  if (!failed_) return RecordFailure(SyncRecords());
  return failure(*failed_);
}

/// Makes the first failure permanent. After a failure the content of the files
/// is unknown: a later sync may succeed although the failed one lost pages.
result<void, storage_error> log_store::RecordFailure(
    result<void, storage_error> outcome) {
  if (!outcome) failed_ = outcome.error();
  return outcome;
}

result<void, storage_error> log_store::WriteRecords(
    const storage_writes& writes) {
  if (writes.stored_snapshot) {
    auto replaced = folder_.Replace(
        kSnapshotName, EncodeSnapshotFile(*writes.stored_snapshot));
    if (!replaced) return replaced;
  }
  if (writes.reset_log) {
    auto reset = AppendRecord(record_type::kReset, EncodeNothing);
    if (!reset) return reset;
  }
  if (writes.truncate_from) {
    const log_index from = *writes.truncate_from;
    auto cut = AppendRecord(record_type::kTruncate, [from](std::uint64_t) {
      return EncodeIndex(from);
    });
    if (!cut) return cut;
  }
  if (writes.state) {
    state_ = *writes.state;
    auto written = AppendState();
    if (!written) return written;
  }
  for (const log_entry& entry : writes.entries) {
    auto written = AppendEntry(entry);
    if (!written) return written;
  }
  if (writes.compact_before) remove_before_ = writes.compact_before;
  return success();
}

/// What an earlier failure may have lost is used no more.
result<void, storage_error> log_store::ReplaceAll(const snapshot& all) {
  auto replaced = folder_.Replace(kSnapshotName, EncodeSnapshotFile(all));
  if (!replaced) return replaced;
  auto names = folder_.List();
  if (!names) return failure(names.error());
  // In ascending order, so that those which are left have no gap.
  std::sort(names.value().begin(), names.value().end());
  for (const std::string& name : names.value()) {
    const auto number = SegmentNumber(name);
    if (!number) continue;
    auto removed = folder_.Remove(name);
    if (!removed) return removed;
    last_number_ = std::max(last_number_, *number);
  }
  segments_.clear();
  remove_before_.reset();
  dirty_ = false;
  return success();
}

result<void, storage_error> log_store::SyncRecords() {
  if (dirty_) {
    auto synced = folder_.Sync(SegmentName(segments_.back().number));
    if (!synced) return synced;
    segments_.back().synced = segments_.back().bytes;
    dirty_ = false;
  }
  return RemoveSegments();
}

result<void, storage_error> log_store::RemoveSegments() {
  if (!remove_before_) return success();
  while (segments_.size() > 1 && segments_.front().last < *remove_before_) {
    auto removed = folder_.Remove(SegmentName(segments_.front().number));
    if (!removed) return removed;
    segments_.pop_front();
  }
  remove_before_.reset();
  return success();
}

}  // namespace marjoramsill
