#ifndef MARJORAMSILL_PROCESS_CONTROL_SEND_FETCH_H_
#define MARJORAMSILL_PROCESS_CONTROL_SEND_FETCH_H_

#include "process/control/fetch_request.h"
#include "types/ids.h"

namespace marjoramsill {

/// Sends a `policy/fetch` request to a peer.
struct send_fetch {
  vm_id to;
  fetch_request request;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_SEND_FETCH_H_
