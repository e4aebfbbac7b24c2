#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_OWNER_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_OWNER_H_

#include <cstdint>

#include "types/ids.h"

namespace marjoramsill {

/// The request that holds a claim. The serial number distinguishes requests
/// with the same key on one VM; it increases within an incarnation of
/// the VM's process.
struct claim_owner {
  vm_id vm;
  incarnation_number incarnation;
  std::uint64_t serial = 0;

  friend bool operator==(const claim_owner&, const claim_owner&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_OWNER_H_
