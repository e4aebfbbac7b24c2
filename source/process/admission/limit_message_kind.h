#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_KIND_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_KIND_H_

#include <cstdint>

namespace marjoramsill {

enum class limit_message_kind : std::uint8_t {
  /// Holder to allocator: the demand, and the bound that the holder does not
  /// exceed until the response.
  kShareRequest,
  /// Allocator to holder: a share lease and its duration.
  kShareGrant,
  /// Allocator to holder: send a new share request with the current demand.
  kShareRecall,
  /// Candidate allocator to arbiter: request for the allocator lease.
  kLeaseRequest,
  /// Arbiter to candidate allocator: grant of the allocator lease; duration 0
  /// means refused.
  kLeaseGrant,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_KIND_H_
