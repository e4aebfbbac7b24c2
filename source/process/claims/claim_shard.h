#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_SHARD_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_SHARD_H_

#include <cstddef>

#include "process/claims/claim_key.h"

namespace marjoramsill {

/// Returns the index of the claim group that is responsible for `key`, in
/// [0, group_count). `group_count` must be at least 1 and must not change while
/// claims are retained; see docs/at-most-once.md.
std::size_t ClaimShardFor(const claim_key& key, std::size_t group_count);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_SHARD_H_
