#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_STATE_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_STATE_H_

#include <cstdint>

namespace marjoramsill {

enum class claim_state : std::uint8_t {
  kClaimed,
  kFinished,
  kReleased,
  kUnknown,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_STATE_H_
