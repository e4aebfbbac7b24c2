#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ACTION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ACTION_H_

#include "process/admission/admission_ids.h"

namespace marjoramsill {

/// Final decision on a request for which Offer() returned kWaiting.
struct limit_action {
  request_handle request;
  bool accepted = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ACTION_H_
