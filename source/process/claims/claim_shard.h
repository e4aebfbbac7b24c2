#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_SHARD_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_SHARD_H_

#include <cstddef>

#include "process/claims/claim_key.h"

namespace marjoramsill {

/// Index of the claim group that holds `key`, in [0, group_count). The group
/// count must not change while claims are retained; see docs/at-most-once.md.
/// `group_count` is at least 1.
std::size_t ClaimShardFor(const claim_key& key, std::size_t group_count);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_SHARD_H_
