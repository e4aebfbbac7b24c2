#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TIME_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TIME_H_

#include "types/strong_number.h"

namespace marjoramsill {

/// Time of a claim group in milliseconds: the sum of the steady time measured
/// by its leaders, see claim_group_clock. It does not depend on wall clocks, so
/// a VM with a wrong date cannot make claims expire.
using claim_time = strong_number<struct claim_time_tag>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TIME_H_
