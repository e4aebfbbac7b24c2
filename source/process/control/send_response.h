#ifndef MARJORAMSILL_PROCESS_CONTROL_SEND_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CONTROL_SEND_RESPONSE_H_

#include "process/control/fetch_response.h"
#include "types/ids.h"

namespace marjoramsill {

/// Sends the response to a peer's `policy/fetch`.
struct send_response {
  vm_id to;
  fetch_response payload;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_SEND_RESPONSE_H_
