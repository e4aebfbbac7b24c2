#include "process/claims/claim_command.h"

#include <limits>
#include <utility>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_fields.h"
#include "process/claims/claim_time.h"

namespace marjoramsill {
namespace {

// Milliseconds. Greater than any time a group can reach, and low enough that
// the sum of a time, a deadline and a retention does not overflow.
constexpr std::uint64_t kMaxTime = 1ULL << 53U;
// Milliseconds.
constexpr std::uint64_t kMaxRetention = 366ULL * 24 * 3600 * 1000;

bool HasResponse(claim_command_kind kind) {
  return kind == claim_command_kind::kFinish;
}

std::chrono::milliseconds Milliseconds(std::uint64_t count) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(count));
}

}  // namespace

std::string EncodeClaimCommand(const claim_command& command) {
  msgpack::sbuffer buffer;
  claim_packer packer(buffer);
  packer.pack_array(13);
  packer.pack_uint8(static_cast<std::uint8_t>(command.kind));
  packer.pack_uint64(command.time.value());
  packer.pack_uint64(static_cast<std::uint64_t>(command.retention.count()));
  PackKey(packer, command.key);
  PackOwner(packer, command.owner);
  PackHash(packer, command.request_hash);
  packer.pack_uint64(static_cast<std::uint64_t>(command.deadline_in.count()));
  packer.pack_uint32(command.limit);
  PackResponse(packer, HasResponse(command.kind) ? &command.response : nullptr);
  return {buffer.data(), buffer.size()};
}

result<claim_command, claim_decode_error> DecodeClaimCommand(
    std::string_view bytes) {
  std::size_t offset = 0;
  const auto unpacked = UnpackClaimArray(bytes, offset);
  if (!unpacked) return failure(unpacked.error());
  claim_decode_status status;
  if (offset != bytes.size()) status.Fail(claim_decode_fault::kTrailingBytes);
  claim_field_reader reader(unpacked.value().get(), status);
  claim_command command;
  command.kind = static_cast<claim_command_kind>(
      reader.Number(static_cast<std::uint64_t>(claim_command_kind::kExpire)));
  command.time = claim_time(reader.Number(kMaxTime));
  command.retention = Milliseconds(reader.Number(kMaxRetention));
  command.key = reader.Key();
  command.owner = reader.Owner();
  command.request_hash = reader.Hash();
  command.deadline_in = Milliseconds(
      reader.Number(static_cast<std::uint64_t>(kMaxClaimDeadline.count())));
  command.limit = static_cast<std::uint32_t>(
      reader.Number(std::numeric_limits<std::uint32_t>::max()));
  auto response = ReadResponse(reader, status);
  if (response.has_value() != HasResponse(command.kind)) {
    status.Fail(claim_decode_fault::kMissingField);
  }
  if (status.error) return failure(*status.error);
  if (response) command.response = std::move(*response);
  return command;
}

}  // namespace marjoramsill
