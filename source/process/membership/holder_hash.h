#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_

#include <cstdint>
#include <string_view>

#include "process/membership/lease_record.h"

namespace marjoramsill {

/// Hash of a text and a number.
std::uint64_t HashPair(std::string_view text, std::uint64_t number);

/// Reference to a holder in beats. At 330 VMs two of them collide with a
/// probability of about 3e-15.
inline std::uint64_t RefOf(const holder_id& holder) {
  return HashPair(holder.vm.value(), holder.life.value());
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_HOLDER_HASH_H_
