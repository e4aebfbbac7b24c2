#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TIME_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TIME_H_

#include "types/strong_number.h"

namespace marjoramsill {

/// Milliseconds of a claim group's own time: the steady time that its leaders
/// have counted, see claim_group_clock. No wall clock is involved, so a VM
/// whose date is wrong cannot make claims expire.
using claim_time = strong_number<struct claim_time_tag>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TIME_H_
