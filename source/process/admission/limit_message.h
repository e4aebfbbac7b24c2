#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_H_

#include <cstdint>

#include "process/admission/limit_message_kind.h"
#include "process/admission/workspace_limit.h"
#include "types/ids.h"

namespace marjoramsill {

/// A message about the limit of one workspace. Fields that a kind does not use
/// are 0.
struct limit_message {
  limit_message_kind kind = limit_message_kind::kShareRequest;
  workspace_id workspace;
  /// Sequence number of the request that this message is or responds to.
  /// Increases per sender, also across restarts of its process (upper 32 bits:
  /// incarnation).
  std::uint64_t sequence = 0;
  workspace_limit limit;
  /// Requested rate in a share request, granted rate in a share grant.
  double tokens_per_second = 0;
  /// Requested or granted concurrency. In a lease grant: milliseconds until all
  /// concurrency granted by an earlier allocator has ended.
  std::uint32_t concurrent = 0;
  /// In a share request: the most that the sender holds from now on.
  double held_tokens_per_second = 0;
  std::uint32_t held_concurrent = 0;
  /// Tokens requested or granted immediately, from the tokens accumulated by
  /// the unallocated part of the limit.
  double burst_tokens = 0;
  /// In a share request: unused tokens of a share that the holder returns.
  double returned_tokens = 0;
  /// In a share grant: number of shares recalled for it. If above 0, further
  /// grants may follow.
  std::uint32_t recalls = 0;
  /// Duration of a share grant or lease grant. The receiver counts it from the
  /// time at which it sent the request.
  std::uint32_t duration_ms = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_H_
