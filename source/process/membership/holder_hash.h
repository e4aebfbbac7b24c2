#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_

#include <cstdint>
#include <string_view>

#include "process/membership/lease_record.h"

namespace marjoramsill {

/// Hash of a text and a number.
std::uint64_t HashPair(std::string_view text, std::uint64_t number);

/// Reference to a holder in beats; never 0. Beats are relayed within a failure
/// domain only, where two of 33 VMs collide with a probability of about 1e-7.
inline std::uint32_t RefOf(const holder_id& holder) {
  const std::uint64_t hash = HashPair(holder.vm.value(), holder.life.value());
  return static_cast<std::uint32_t>(hash) | 1U;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_
