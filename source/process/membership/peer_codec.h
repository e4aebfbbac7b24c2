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

/// Why a peer message was refused.
struct peer_decode_error {
  enum class reason {
    kTooLarge,
    kDamaged,
    kTooDeep,
    kTooLong,
    kWrongType,
    kMissingField,
    kOutOfRange,
    /// The sender is not a VM of this fleet according to the settings.
    kUnknownSender,
    /// From an earlier incarnation of the sender.
    kOldIncarnation,
    /// The message was applied, but the response would exceed the byte budget.
    /// This happens after a freeze, when all queued requests arrive at once.
    kOverBudget
  };
  reason why;
  /// Invalid field; empty if the message as a whole is invalid.
  std::string field;
};

/// Encodes a message with msgpack, as nested arrays in field order. Trailing
/// empty lists are omitted.
std::string EncodePeerMessage(const peer_message& message);
/// Decodes a message. Unknown fields at the end of an array, as sent by newer
/// versions, are ignored.
result<peer_message, peer_decode_error> DecodePeerMessage(
    std::string_view bytes);

/// Encoded sizes in bytes, used to stay within a byte budget.
std::size_t EncodedSize(const holder_change& change);
std::size_t EncodedSize(const lease_record& record);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_CODEC_H_
