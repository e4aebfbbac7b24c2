#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_OFFER_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_OFFER_H_

#include <chrono>

#include "process/admission/admission_ids.h"
#include "types/rank.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

/// A request offered to an admission_queue.
struct admission_offer {
  request_handle request;
  marjoramsill::rank rank = rank::kStandard;
  workspace_handle workspace;
  /// Fair-queueing weight of the workspace within its rank, above 0.
  double weight = 1;
  /// Estimated cost, above 0.
  cost_units cost;
  /// Time by which the request must have ended.
  steady_time deadline;
  /// Expected run time, without the wait in the queue.
  std::chrono::microseconds expected_service{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_OFFER_H_
