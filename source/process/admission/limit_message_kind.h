#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_KIND_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_KIND_H_

#include <cstdint>

namespace marjoramsill {

enum class limit_message_kind : std::uint8_t {
  /// Holder to allocator: demand, and what the holder will not exceed until
  /// the answer.
  kAsk,
  /// Allocator to holder: share and its duration.
  kGrant,
  /// Allocator to holder: ask again with the present demand.
  kRecall,
  /// Candidate allocator to arbiter.
  kLicenceAsk,
  /// Arbiter to candidate allocator; duration 0 means refused.
  kLicence,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_KIND_H_
