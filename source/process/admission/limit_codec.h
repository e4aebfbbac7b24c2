#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_CODEC_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "process/admission/limit_types.h"
#include "types/result.h"

namespace marjoramsill {

/// Maximum size of an encoded batch.
inline constexpr std::size_t kMaxLimitBytes = 65536;
inline constexpr std::size_t kMaxLimitMessages = 512;
inline constexpr std::size_t kMaxWorkspaceIdBytes = 256;

enum class limit_decode_error_kind { kTooLarge, kMalformed, kOutOfRange };

/// Describes why a batch of limit messages was refused.
struct limit_decode_error {
  limit_decode_error_kind kind = limit_decode_error_kind::kMalformed;
  /// Index of the invalid message; 0 if the batch itself is invalid.
  std::size_t message = 0;
  /// Name of the invalid field.
  std::string field;
};

/// A batch for one peer: a msgpack array of messages, each an array in field
/// order. Fields added at the end by a newer version are ignored.
std::string EncodeLimitMessages(const std::vector<limit_message>& messages);
result<std::vector<limit_message>, limit_decode_error> DecodeLimitMessages(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_CODEC_H_
