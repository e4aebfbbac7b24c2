#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_COMMAND_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_COMMAND_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_decode_error.h"
#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/claim_time.h"
#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"
#include "types/result.h"

namespace marjoramsill {

enum class claim_command_kind : std::uint8_t {
  /// Claims the key for the owner.
  kClaim,
  /// Stores the response of the request.
  kFinish,
  /// Records that the request was sent, but its outcome is unknown.
  kMarkUnknown,
  /// Gives up a claim whose request was not sent.
  kRelease,
  /// Returns the outcome that the record gives, without claiming the key.
  kLookUp,
  /// Removes expired records.
  kExpire,
};

/// One command of a claim group. An entry VM leaves `time` and `retention` at
/// their defaults; the group's leader sets both before it appends the command,
/// so that every member computes the same state.
struct claim_command {
  claim_command_kind kind = claim_command_kind::kLookUp;
  claim_time time;
  std::chrono::milliseconds retention = kDefaultClaimRetention;
  claim_key key;
  claim_owner owner;
  /// kClaim and kLookUp: hash of the request's method, path and body.
  content_hash request_hash;
  /// kClaim: time until the request's deadline. Relative, so that the clocks of
  /// entry VM and leader need not agree.
  std::chrono::milliseconds deadline_in{0};
  /// kFinish only.
  stored_response response;
  /// kExpire only: maximum number of records to remove.
  std::uint32_t limit = 0;

  friend bool operator==(const claim_command&, const claim_command&) = default;
};

std::string EncodeClaimCommand(const claim_command& command);
result<claim_command, claim_decode_error> DecodeClaimCommand(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_COMMAND_H_
