#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_STATE_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_STATE_H_

#include <cstdint>

namespace marjoramsill {

/// State of the record of a claim.
enum class claim_state : std::uint8_t {
  /// An owner holds the claim; its request may be running.
  kClaimed,
  /// The response is stored.
  kFinished,
  /// The owner gave up the claim without sending the request.
  kReleased,
  /// The request may have run, but its outcome is unknown.
  kUnknown,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_STATE_H_
