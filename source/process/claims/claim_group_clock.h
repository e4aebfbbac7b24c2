#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_GROUP_CLOCK_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_GROUP_CLOCK_H_

#include "process/claims/claim_time.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Provides the time of the commands that one leader appends: the table's time
/// when its leadership began, plus the steady time since then. Time without a
/// leader is not counted, so claims are kept at least for their retention.
class claim_group_clock {
 public:
  /// To be called when all entries of earlier terms are applied, with
  /// claim_table::time().
  void Begin(claim_time table_time, steady_time now);
  claim_time Stamp(steady_time now) const;

 private:
  claim_time start_;
  steady_time leadership_start_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_GROUP_CLOCK_H_
