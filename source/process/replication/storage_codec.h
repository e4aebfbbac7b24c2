#ifndef MARJORAMSILL_PROCESS_REPLICATION_STORAGE_CODEC_H_
#define MARJORAMSILL_PROCESS_REPLICATION_STORAGE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/replication/hard_state.h"
#include "process/replication/log_entry.h"
#include "process/replication/snapshot.h"

namespace marjoramsill {

/// Kinds of records in a segment file.
enum class record_type : std::uint8_t {
  kState = 1,
  kEntry = 2,
  /// Payload: index from which on the entries are discarded.
  kTruncate = 3,
  /// All entries so far are discarded.
  kReset = 4,
};

/// A segment file starts with: "MJSL", format version (1 byte), three zero
/// bytes, segment number (8 bytes, little endian).
inline constexpr std::size_t kSegmentHeaderBytes = 16;
inline constexpr std::uint8_t kStorageVersion = 1;
/// Header before the payload of a record: length (4 bytes), type (1 byte) and
/// checksum (8 bytes, XXH3 of the payload). The checksum is seeded with segment
/// number, offset and type, so that a record at a wrong position is invalid.
inline constexpr std::size_t kRecordHeaderBytes = 13;

std::string EncodeSegmentHeader(std::uint64_t number);

enum class header_state { kValid, kDamaged, kUnknownVersion };
header_state CheckSegmentHeader(std::string_view bytes, std::uint64_t number);

std::string EncodeRecord(record_type type, std::string_view payload,
                         std::uint64_t segment, std::uint64_t offset);

/// A valid record in a segment; `size` includes the header.
struct record_view {
  record_type type = record_type::kState;
  std::string_view payload;
  std::size_t size = 0;
};
/// Empty if no valid record starts at the offset.
std::optional<record_view> ReadRecord(std::string_view segment_bytes,
                                      std::uint64_t segment,
                                      std::size_t offset);

/// Payloads of state and entry records. `synced_bytes` is how many bytes of the
/// segment were durable when the record was written; records of builds before
/// it was introduced lack it, and those builds ignore it.
std::string EncodeState(const hard_state& state,
                        std::optional<std::uint64_t> synced_bytes = {});
std::optional<hard_state> DecodeState(std::string_view bytes);
std::string EncodeLogEntry(const log_entry& entry,
                           std::optional<std::uint64_t> synced_bytes = {});
std::optional<log_entry> DecodeLogEntry(std::string_view bytes);
/// Empty if the record does not say it.
std::optional<std::uint64_t> DecodeSyncedBytes(const record_view& record);
std::string EncodeIndex(log_index index);
std::optional<log_index> DecodeIndex(std::string_view bytes);

/// Content of the snapshot file: "MJSS", version, three zero bytes, checksum
/// (8 bytes), msgpack array.
std::string EncodeSnapshotFile(const snapshot& taken);
header_state DecodeSnapshotFile(std::string_view bytes, snapshot& read);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_STORAGE_CODEC_H_
