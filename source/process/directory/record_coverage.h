#ifndef MARJORAMSILL_PROCESS_DIRECTORY_RECORD_COVERAGE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_RECORD_COVERAGE_H_

#include <optional>

#include "types/steady_time.h"

namespace marjoramsill {

/// The period for which a process knows all endpoints that the control
/// processes have known. A control process that has just started knows none of
/// those before, and hears of one that runs by its next heartbeat. Only
/// statements that overlap add up to one period: what one process learned
/// before a restart and another one afterwards leaves a gap, in which an
/// endpoint may have come and gone unheard. Not thread-safe.
class record_coverage {
 public:
  /// A control process has received heartbeats since `started`, and its records
  /// of `as_of` or later are here.
  void Add(steady_time started, steady_time as_of);
  /// All endpoints that were present at `moment` or later are known.
  bool ReachesBackTo(steady_time moment) const;

 private:
  struct period {
    steady_time since;
    steady_time until;
  };

  std::optional<period> covered_;
  /// Start of a control process after the covered period. The time between them
  /// is a gap unless another one covers it.
  std::optional<steady_time> later_start_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_RECORD_COVERAGE_H_
