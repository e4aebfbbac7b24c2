#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_DECODE_ERROR_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_DECODE_ERROR_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marjoramsill {

/// Why a message, command or snapshot could not be decoded.
enum class claim_decode_fault : std::uint8_t {
  /// Not well-formed msgpack, truncated, or nested deeper or longer than
  /// allowed.
  kMalformed,
  kTrailingBytes,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kUnsupportedVersion,
};

struct claim_decode_error {
  claim_decode_fault fault = claim_decode_fault::kMalformed;
  /// Number of the field at which decoding failed, counted from 1 over all
  /// fields read so far; 0 if no field was read.
  std::size_t field = 0;
};

std::string_view ClaimDecodeFaultName(claim_decode_fault fault);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_DECODE_ERROR_H_
