#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_GROUP_CLOCK_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_GROUP_CLOCK_H_

#include "process/claims/claim_time.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Stamps the commands of one leader: the table's time when it began to lead
/// plus its steady time since. Gaps between leaders are not counted, so claims
/// are kept at least as long as the retention says.
class claim_group_clock {
 public:
  /// Call when the entries of earlier terms are applied, with
  /// claim_table::time().
  void Begin(claim_time table_time, steady_time now);
  claim_time Stamp(steady_time now) const;

 private:
  claim_time start_;
  steady_time began_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_GROUP_CLOCK_H_
