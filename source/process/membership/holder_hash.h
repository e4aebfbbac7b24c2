#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_

#include <cstdint>
#include <string_view>

#include "process/membership/lease_record.h"

namespace marjoramsill {

/// Hashes a text with a number as the seed.
std::uint64_t HashPair(std::string_view text, std::uint64_t number);

/// Short reference to a holder in heartbeats; never 0. Heartbeats are relayed
/// only within a failure domain, where the probability that two of 33 VMs
/// collide is about 1e-7.
inline std::uint32_t MakeHolderRef(const holder_id& holder) {
  const std::uint64_t hash =
      HashPair(holder.vm.value(), holder.incarnation.value());
  return static_cast<std::uint32_t>(hash) | 1U;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_
