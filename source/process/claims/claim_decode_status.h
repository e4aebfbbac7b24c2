#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_DECODE_STATUS_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_DECODE_STATUS_H_

#include <cstddef>
#include <msgpack.hpp>
#include <optional>

#include "process/claims/claim_decode_error.h"

namespace marjoramsill {

/// State of a decoding: the number of fields read so far and the first error.
struct claim_decode_status {
  std::size_t fields = 0;
  std::optional<claim_decode_error> error;

  void Fail(claim_decode_fault fault);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_DECODE_STATUS_H_
