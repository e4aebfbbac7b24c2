#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_RESPONSE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/claims/claim_command.h"
#include "process/claims/stored_response.h"

namespace marjoramsill {

/// Result of a command.
enum class claim_outcome : std::uint8_t {
  /// kClaim: the owner holds the claim and may send the request once.
  kGranted,
  /// kFinish, kMarkUnknown, kRelease, kExpire: done now or by an earlier
  /// command.
  kDone,
  /// kClaim, kLookUp: another request holds the claim until its deadline.
  kInProgress,
  /// kClaim, kLookUp: the request may have run, but its outcome is unknown.
  kOutcomeUnknown,
  /// kClaim, kLookUp: the request has run; its stored response is included.
  kFinished,
  /// The key was used before with a different request.
  kKeyReused,
  /// kClaim: this claim was released before, so the request must not be sent.
  kClaimReleased,
  /// kFinish, kMarkUnknown, kRelease: the record has another owner, or is in a
  /// state that the command must not change.
  kNotOwner,
  /// kLookUp, kFinish, kMarkUnknown: there is no record of the key.
  kAbsent,
  /// kClaim: the group has its maximum number of records.
  kFull,
};

/// Response of a claim group to one command. `kind`, `incarnation` and `serial`
/// are copied from the command, so that the response to another command is
/// recognised. `incarnation` is the incarnation of the owner.
struct claim_response {
  claim_command_kind kind = claim_command_kind::kLookUp;
  incarnation_number incarnation;
  std::uint64_t serial = 0;
  claim_outcome outcome = claim_outcome::kAbsent;
  /// kInProgress: time until the owner's deadline.
  std::chrono::milliseconds deadline_in{0};
  /// kExpire: number of records removed.
  std::uint32_t removed = 0;
  /// kFinished only.
  std::optional<stored_response> response;

  friend bool operator==(const claim_response&,
                         const claim_response&) = default;
};

std::string EncodeClaimResponse(const claim_response& message);
result<claim_response, claim_decode_error> DecodeClaimResponse(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_RESPONSE_H_
