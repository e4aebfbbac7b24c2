#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_CODEC_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "process/membership/peer_message.h"
#include "types/result.h"

namespace marjoramsill {

inline constexpr std::size_t kMaxPeerMessageBytes = 16384;
inline constexpr std::size_t kMaxPeerListLength = 512;

struct peer_decode_error {
  enum class reason {
    kTooLarge,
    kDamaged,
    kTooDeep,
    kTooLong,
    kWrongType,
    kMissingField,
    kOutOfRange,
    /// From a VM that the settings don't name.
    kUnknownSender,
    /// From an earlier life of the sender.
    kOldIncarnation,
    /// Read, but the answer would exceed the byte budget. After a freeze all
    /// requests that have waited come at once.
    kOverBudget
  };
  reason why;
  /// Field at fault; empty for the whole message.
  std::string field;
};

/// msgpack, arrays in field order; fields added at the end are skipped.
std::string EncodePeerMessage(const peer_message& message);
result<peer_message, peer_decode_error> DecodePeerMessage(
    std::string_view bytes);

/// Encoded sizes, for keeping within a byte budget.
std::size_t EncodedSize(const holder_change& change);
std::size_t EncodedSize(const lease_record& record);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_CODEC_H_
