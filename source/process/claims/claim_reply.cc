#include "process/claims/claim_reply.h"

#include <limits>
#include <utility>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_fields.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kAny = std::numeric_limits<std::uint64_t>::max();

}  // namespace

std::string EncodeClaimReply(const claim_reply& reply) {
  msgpack::sbuffer buffer;
  claim_packer packer(buffer);
  packer.pack_array(7);
  packer.pack_uint8(static_cast<std::uint8_t>(reply.kind));
  packer.pack_uint64(reply.life.value());
  packer.pack_uint64(reply.serial);
  packer.pack_uint8(static_cast<std::uint8_t>(reply.outcome));
  packer.pack_uint64(static_cast<std::uint64_t>(reply.deadline_in.count()));
  packer.pack_uint32(reply.removed);
  PackResponse(packer, reply.response ? &*reply.response : nullptr);
  return {buffer.data(), buffer.size()};
}

result<claim_reply, claim_decode_error> DecodeClaimReply(
    std::string_view bytes) {
  std::size_t offset = 0;
  const auto unpacked = UnpackClaimArray(bytes, offset);
  if (!unpacked) return failure(unpacked.error());
  claim_decode_status status;
  if (offset != bytes.size()) status.Fail(claim_decode_fault::kTrailingBytes);
  claim_field_reader reader(unpacked.value().get(), status);
  claim_reply reply;
  reply.kind = static_cast<claim_command_kind>(
      reader.Number(static_cast<std::uint64_t>(claim_command_kind::kExpire)));
  reply.life = incarnation(reader.Number(kAny));
  reply.serial = reader.Number(kAny);
  reply.outcome = static_cast<claim_outcome>(
      reader.Number(static_cast<std::uint64_t>(claim_outcome::kFull)));
  reply.deadline_in = std::chrono::milliseconds(static_cast<std::int64_t>(
      reader.Number(static_cast<std::uint64_t>(kMaxClaimDeadline.count()))));
  reply.removed = static_cast<std::uint32_t>(
      reader.Number(std::numeric_limits<std::uint32_t>::max()));
  reply.response = ReadResponse(reader, status);
  if (reply.response.has_value() !=
      (reply.outcome == claim_outcome::kFinished)) {
    status.Fail(claim_decode_fault::kMissingField);
  }
  if (status.error) return failure(*status.error);
  return reply;
}

}  // namespace marjoramsill
