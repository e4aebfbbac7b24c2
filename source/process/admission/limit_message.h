#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_H_

#include <cstdint>

#include "process/admission/limit_message_kind.h"
#include "process/admission/workspace_limit.h"
#include "types/ids.h"

namespace marjoramsill {

/// One message about one workspace. Fields that a kind does not use are 0.
struct limit_message {
  limit_message_kind kind = limit_message_kind::kAsk;
  workspace_id workspace;
  /// Number of the ask that this is or answers. Grows per sender, also from one
  /// start of its process to the next (upper half: incarnation).
  std::uint64_t sequence = 0;
  workspace_limit limit;
  /// Demand of an ask, share of a grant.
  double tokens_per_second = 0;
  /// As above. Of a licence: milliseconds until concurrency that an earlier
  /// allocator gave out has certainly ended.
  std::uint32_t concurrent = 0;
  /// What the sender of an ask holds at most from now on.
  double held_tokens_per_second = 0;
  std::uint32_t held_concurrent = 0;
  /// Tokens wanted or given at once, from the part of the limit that nobody
  /// held lately.
  double burst_tokens = 0;
  /// Of an ask: unused tokens of a share that the holder gives up.
  double returned_tokens = 0;
  /// Of a grant: holders that were recalled for it. Above 0 more may follow.
  std::uint32_t recalls = 0;
  /// Of a grant or licence; the receiver counts from the time it sent the ask.
  std::uint32_t duration_ms = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_MESSAGE_H_
