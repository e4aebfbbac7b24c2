#ifndef MARJORAMSILL_PROCESS_DIRECTORY_POOL_PROGRESS_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_POOL_PROGRESS_H_

#include <cstdint>

#include "types/ids.h"
#include "types/strong_number.h"

namespace marjoramsill {

/// 32-bit hash of the id of a pool. A collision mixes up the loads of two
/// pools.
using pool_digest = strong_number<struct pool_digest_tag>;

pool_digest DigestOf(const model_id& pool);

/// Requests that some entry VMs have in progress at the endpoints of one pool.
struct pool_progress {
  pool_digest pool;
  std::uint32_t requests = 0;

  friend bool operator==(const pool_progress&, const pool_progress&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_POOL_PROGRESS_H_
