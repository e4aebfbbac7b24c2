#ifndef MARJORAMSILL_PROCESS_CONTROL_OPEN_FETCH_H_
#define MARJORAMSILL_PROCESS_CONTROL_OPEN_FETCH_H_

#include "process/control/fetch_request.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// A fetch request that was sent and has no response yet.
struct open_fetch {
  vm_id peer;
  steady_time deadline{};
  fetch_request request;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_OPEN_FETCH_H_
