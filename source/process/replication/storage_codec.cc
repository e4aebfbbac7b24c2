#include "process/replication/storage_codec.h"

#include <xxhash.h>

#include <memory>

#include "process/replication/message_fields.h"

namespace marjoramsill {
namespace {

constexpr std::string_view kSegmentMagic = "MJSL";
constexpr std::string_view kSnapshotMagic = "MJSS";
constexpr std::size_t kSnapshotHeaderBytes = 16;
/// Fields of the records before the number of synced bytes.
constexpr std::uint32_t kStateFields = 4;
constexpr std::uint32_t kEntryFields = 1;

void PutNumber(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>(value >> (8 * i) & 0xFFU));
  }
}

std::uint64_t GetNumber(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = bytes.size(); i-- > 0;) {
    value = value << 8U | static_cast<unsigned char>(bytes[i]);
  }
  return value;
}

std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t RecordSeed(std::uint64_t segment, std::uint64_t offset,
                         std::uint64_t type) {
  return segment * 0x9E3779B97F4A7C15U ^ offset << 8U ^ type;
}

std::string BufferContent(const msgpack::sbuffer& buffer) {
  return {buffer.data(), buffer.size()};
}

/// Reads one msgpack array from bytes whose checksum was verified. Their size
/// is bounded by that of the file, so the limits only exclude absurd values.
template <class Read>
bool ReadArray(std::string_view bytes, const Read& read) {
  codec_limits limits;
  limits.max_members = 1024;
  std::optional<codec_error> error;
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size());
    raft_field_reader fields(handle.get(), "record", limits, error);
    read(fields);
  } catch (const msgpack::unpack_error&) {
    return false;
  }
  return !error;
}

void PackMember(packer& out, const member_id& id) {
  PackText(out, id.vm.value());
  out.pack_uint64(id.disk.value());
}

member_id ReadMember(raft_field_reader& in) {
  member_id id;
  id.vm = in.TextAs<vm_id>("vm");
  id.disk = in.NumberAs<disk_id>("disk");
  return id;
}

header_state CheckMagic(std::string_view bytes, std::string_view magic) {
  if (bytes.substr(0, magic.size()) != magic) return header_state::kDamaged;
  const auto version = static_cast<unsigned char>(bytes[magic.size()]);
  // No build writes version 0: it is what a torn write leaves.
  if (version == 0) return header_state::kDamaged;
  return version == kStorageVersion ? header_state::kValid
                                    : header_state::kUnknownVersion;
}

}  // namespace

std::string EncodeSegmentHeader(std::uint64_t number) {
  std::string out(kSegmentMagic);
  PutNumber(out, kStorageVersion, 4);
  PutNumber(out, number, 8);
  return out;
}

header_state CheckSegmentHeader(std::string_view bytes, std::uint64_t number) {
  if (bytes.size() < kSegmentHeaderBytes) return header_state::kDamaged;
  const header_state state = CheckMagic(bytes, kSegmentMagic);
  if (state != header_state::kValid) return state;
  return bytes.substr(0, kSegmentHeaderBytes) == EncodeSegmentHeader(number)
             ? header_state::kValid
             : header_state::kDamaged;
}

std::string EncodeRecord(record_type type, std::string_view payload,
                         std::uint64_t segment, std::uint64_t offset) {
  const auto number = static_cast<std::uint64_t>(type);
  std::string out;
  PutNumber(out, payload.size(), 4);
  PutNumber(out, number, 1);
  PutNumber(out, Checksum(payload, RecordSeed(segment, offset, number)), 8);
  out += payload;
  return out;
}

std::optional<record_view> ReadRecord(std::string_view segment_bytes,
                                      std::uint64_t segment,
                                      std::size_t offset) {
  const std::string_view rest = segment_bytes.substr(offset);
  if (rest.size() < kRecordHeaderBytes) return std::nullopt;
  const std::uint64_t length = GetNumber(rest.substr(0, 4));
  const std::uint64_t type = GetNumber(rest.substr(4, 1));
  if (type < 1 || type > 4 || length > rest.size() - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(kRecordHeaderBytes, length);
  if (GetNumber(rest.substr(5, 8)) !=
      Checksum(payload, RecordSeed(segment, offset, type))) {
    return std::nullopt;
  }
  return record_view{static_cast<record_type>(type), payload,
                     kRecordHeaderBytes + length};
}

std::string EncodeState(const hard_state& state,
                        std::optional<std::uint64_t> synced_bytes) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(kStateFields + (synced_bytes ? 1 : 0));
  out.pack_uint64(state.term.value());
  out.pack_uint64(state.starts);
  out.pack_array(state.voted_for ? 2 : 0);
  if (state.voted_for) PackMember(out, *state.voted_for);
  out.pack_array(static_cast<std::uint32_t>(state.known_starts.size()));
  for (const known_start& known : state.known_starts) {
    out.pack_array(4);
    PackMember(out, known.member);
    out.pack_uint64(known.number);
    out.pack_uint64(known.run);
  }
  if (synced_bytes) out.pack_uint64(*synced_bytes);
  return BufferContent(buffer);
}

std::optional<hard_state> DecodeState(std::string_view bytes) {
  hard_state state;
  const bool read = ReadArray(bytes, [&](raft_field_reader& in) {
    state.term = in.NumberAs<log_term>("term");
    state.starts = in.Number("starts");
    const msgpack::object* vote = in.Array("voted_for", 2);
    if (vote != nullptr && vote->via.array.size > 0) {
      raft_field_reader fields(*vote, "voted_for", in.limits(), in.error());
      state.voted_for = ReadMember(fields);
    }
    const msgpack::object* starts = in.Array("known_starts", 1024);
    if (starts == nullptr) return;
    for (std::uint32_t i = 0; i < starts->via.array.size; ++i) {
      raft_field_reader fields(starts->via.array.ptr[i], "known_start",
                               in.limits(), in.error());
      known_start known;
      known.member = ReadMember(fields);
      known.number = fields.Number("number");
      known.run = fields.Number("run");
      state.known_starts.push_back(std::move(known));
    }
  });
  if (!read) return std::nullopt;
  return state;
}

std::string EncodeLogEntry(const log_entry& entry,
                           std::optional<std::uint64_t> synced_bytes) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(kEntryFields + (synced_bytes ? 1 : 0));
  PackEntry(out, entry);
  if (synced_bytes) out.pack_uint64(*synced_bytes);
  return BufferContent(buffer);
}

std::optional<log_entry> DecodeLogEntry(std::string_view bytes) {
  log_entry entry;
  if (!ReadArray(bytes, [&](raft_field_reader& in) { entry = in.Entry(); })) {
    return std::nullopt;
  }
  return entry;
}

std::optional<std::uint64_t> DecodeSyncedBytes(const record_view& record) {
  std::uint32_t position = 0;
  if (record.type == record_type::kState) {
    position = kStateFields;
  } else if (record.type == record_type::kEntry) {
    position = kEntryFields;
  } else {
    return std::nullopt;
  }
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(record.payload.data(), record.payload.size());
    const msgpack::object& array = handle.get();
    if (array.type != msgpack::type::ARRAY) return std::nullopt;
    if (array.via.array.size <= position) return std::nullopt;
    const msgpack::object& number = array.via.array.ptr[position];
    if (number.type != msgpack::type::POSITIVE_INTEGER) return std::nullopt;
    return number.via.u64;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  }
}

std::string EncodeIndex(log_index index) {
  std::string out;
  PutNumber(out, index.value(), 8);
  return out;
}

std::optional<log_index> DecodeIndex(std::string_view bytes) {
  if (bytes.size() != 8) return std::nullopt;
  return log_index(GetNumber(bytes));
}

std::string EncodeSnapshotFile(const snapshot& taken) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(4);
  out.pack_uint64(taken.index.value());
  out.pack_uint64(taken.term.value());
  PackConfiguration(out, taken.configuration);
  PackBytes(out, taken.data ? *taken.data : std::string());
  const std::string payload = BufferContent(buffer);
  std::string file(kSnapshotMagic);
  PutNumber(file, kStorageVersion, 4);
  PutNumber(file, Checksum(payload, 0), 8);
  return file + payload;
}

header_state DecodeSnapshotFile(std::string_view bytes, snapshot& read) {
  if (bytes.size() < kSnapshotHeaderBytes) return header_state::kDamaged;
  const header_state state = CheckMagic(bytes, kSnapshotMagic);
  if (state != header_state::kValid) return state;
  if (GetNumber(bytes.substr(4, 4)) != kStorageVersion) {
    return header_state::kDamaged;
  }
  const std::string_view payload = bytes.substr(kSnapshotHeaderBytes);
  if (GetNumber(bytes.substr(8, 8)) != Checksum(payload, 0)) {
    return header_state::kDamaged;
  }
  const bool decoded = ReadArray(payload, [&](raft_field_reader& in) {
    read.index = in.NumberAs<log_index>("index");
    read.term = in.NumberAs<log_term>("term");
    read.configuration = in.Configuration("configuration");
    read.data = std::make_shared<const std::string>(in.Bytes("data"));
  });
  return decoded ? header_state::kValid : header_state::kDamaged;
}

}  // namespace marjoramsill
