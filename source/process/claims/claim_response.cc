#include "process/claims/claim_response.h"

#include <limits>
#include <utility>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_fields.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

}  // namespace

std::string EncodeClaimResponse(const claim_response& message) {
  msgpack::sbuffer buffer;
  claim_packer packer(buffer);
  packer.pack_array(7);
  packer.pack_uint8(static_cast<std::uint8_t>(message.kind));
  packer.pack_uint64(message.incarnation.value());
  packer.pack_uint64(message.serial);
  packer.pack_uint8(static_cast<std::uint8_t>(message.outcome));
  packer.pack_uint64(static_cast<std::uint64_t>(message.deadline_in.count()));
  packer.pack_uint32(message.removed);
  PackResponse(packer, message.response ? &*message.response : nullptr);
  return {buffer.data(), buffer.size()};
}

result<claim_response, claim_decode_error> DecodeClaimResponse(
    std::string_view bytes) {
  std::size_t offset = 0;
  const auto unpacked = UnpackClaimArray(bytes, offset);
  if (!unpacked) return failure(unpacked.error());
  claim_decode_status status;
  if (offset != bytes.size()) status.Fail(claim_decode_fault::kTrailingBytes);
  claim_field_reader reader(unpacked.value().get(), status);
  claim_response decoded;
  decoded.kind = static_cast<claim_command_kind>(
      reader.Number(static_cast<std::uint64_t>(claim_command_kind::kExpire)));
  decoded.incarnation = incarnation_number(reader.Number(kMaxUint64));
  decoded.serial = reader.Number(kMaxUint64);
  decoded.outcome = static_cast<claim_outcome>(
      reader.Number(static_cast<std::uint64_t>(claim_outcome::kFull)));
  decoded.deadline_in = std::chrono::milliseconds(static_cast<std::int64_t>(
      reader.Number(static_cast<std::uint64_t>(kMaxClaimDeadline.count()))));
  decoded.removed = static_cast<std::uint32_t>(
      reader.Number(std::numeric_limits<std::uint32_t>::max()));
  decoded.response = ReadResponse(reader, status);
  if (decoded.response.has_value() !=
      (decoded.outcome == claim_outcome::kFinished)) {
    status.Fail(claim_decode_fault::kMissingField);
  }
  if (status.error) return failure(*status.error);
  return decoded;
}

}  // namespace marjoramsill
