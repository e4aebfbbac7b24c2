#include "process/claims/claim_shard.h"

#include <functional>

#include "process/claims/claim_key.h"

namespace marjoramsill {

std::size_t ClaimShardFor(const claim_key& key, std::size_t group_count) {
  return std::hash<claim_key>()(key) % group_count;
}

}  // namespace marjoramsill
