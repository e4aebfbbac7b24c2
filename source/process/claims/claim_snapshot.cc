#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "process/claims/claim_fields.h"
#include "process/claims/claim_key.h"
#include "process/claims/claim_state.h"
#include "process/claims/claim_table.h"
#include "process/claims/claim_time.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kSnapshotVersion = 1;

}  // namespace

// Format of a snapshot: a header array followed by one array per record, so
// that the decoder unpacks only one record at a time.
struct claim_snapshot_codec {
  using record = claim_table::record;

  static void Pack(msgpack::sbuffer& buffer, const claim_key& key,
                   const record& entry) {
    claim_packer packer(buffer);
    packer.pack_array(11);
    PackKey(packer, key);
    PackOwner(packer, entry.owner);
    PackHash(packer, entry.request_hash);
    packer.pack_uint64(entry.deadline.value());
    packer.pack_uint64(entry.expires.value());
    packer.pack_uint8(static_cast<std::uint8_t>(entry.state));
    if (entry.response.empty()) {
      packer.pack_nil();
    } else {
      buffer.write(entry.response.data(), entry.response.size());
    }
  }

  static void Insert(claim_field_reader& reader, claim_decode_status& status,
                     claim_table& table) {
    claim_key key = reader.Key();
    record entry;
    entry.owner = reader.Owner();
    entry.request_hash = reader.Hash();
    entry.deadline = claim_time(reader.Number(kMaxUint64));
    entry.expires = claim_time(reader.Number(kMaxUint64));
    entry.state = static_cast<claim_state>(
        reader.Number(static_cast<std::uint64_t>(claim_state::kUnknown)));
    auto response = ReadResponse(reader, status);
    if (response.has_value() != (entry.state == claim_state::kFinished)) {
      status.Fail(claim_decode_fault::kMissingField);
    }
    if (status.error) return;
    if (response) {
      entry.body_bytes = static_cast<std::uint32_t>(response->body.size());
      entry.response = EncodeResponse(*response);
    }
    const claim_time expires = entry.expires;
    const std::uint32_t body_bytes = entry.body_bytes;
    const auto [position, inserted] =
        table.records_.try_emplace(std::move(key), std::move(entry));
    if (!inserted) {
      status.Fail(claim_decode_fault::kOutOfRange);
      return;
    }
    table.body_bytes_ += body_bytes;
    table.expiries_.insert(claim_table::expiry{expires, &position->first});
  }

  static std::uint64_t ReadHeader(const msgpack::object& header,
                                  claim_decode_status& status,
                                  claim_table& table) {
    claim_field_reader reader(header, status);
    const std::uint64_t version = reader.Number(kMaxUint64);
    if (!status.error && version != kSnapshotVersion) {
      status.Fail(claim_decode_fault::kUnsupportedVersion);
    }
    table.time_ = claim_time(reader.Number(kMaxUint64));
    return reader.Number(kMaxUint64);
  }
};

std::string claim_table::Snapshot() const {
  std::vector<const record_map::value_type*> sorted;
  sorted.reserve(records_.size());
  for (const auto& entry : records_) sorted.push_back(&entry);
  std::sort(sorted.begin(), sorted.end(),
            [](const auto* a, const auto* b) { return a->first < b->first; });
  msgpack::sbuffer buffer;
  claim_packer packer(buffer);
  packer.pack_array(3);
  packer.pack_uint64(kSnapshotVersion);
  packer.pack_uint64(time_.value());
  packer.pack_uint64(records_.size());
  for (const auto* entry : sorted) {
    claim_snapshot_codec::Pack(buffer, entry->first, entry->second);
  }
  return {buffer.data(), buffer.size()};
}

result<void, claim_decode_error> claim_table::Restore(std::string_view bytes) {
  claim_table restored(limits_);
  claim_decode_status status;
  std::size_t offset = 0;
  const auto header = UnpackClaimArray(bytes, offset);
  if (!header) return failure(header.error());
  const std::uint64_t count =
      claim_snapshot_codec::ReadHeader(header.value().get(), status, restored);
  for (std::uint64_t i = 0; i < count && !status.error; ++i) {
    const auto unpacked = UnpackClaimArray(bytes, offset);
    if (!unpacked) return failure(unpacked.error());
    claim_field_reader reader(unpacked.value().get(), status);
    claim_snapshot_codec::Insert(reader, status, restored);
  }
  if (offset != bytes.size()) status.Fail(claim_decode_fault::kTrailingBytes);
  if (status.error) return failure(*status.error);
  *this = std::move(restored);
  return success();
}

}  // namespace marjoramsill
