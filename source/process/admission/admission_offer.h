#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_OFFER_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_OFFER_H_

#include <chrono>

#include "process/admission/admission_ids.h"
#include "types/rank.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

struct admission_offer {
  request_handle request;
  marjoramsill::rank rank = rank::kStandard;
  workspace_handle workspace;
  /// Weight of the workspace in its rank, above 0.
  double weight = 1;
  cost_units cost;
  steady_time deadline;
  std::chrono::microseconds expected_service{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_OFFER_H_
