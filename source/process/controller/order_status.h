#ifndef MARJORAMSILL_PROCESS_CONTROLLER_ORDER_STATUS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_ORDER_STATUS_H_

#include "process/controller/document_response.h"
#include "process/controller/evacuation_outcome.h"

namespace marjoramsill {

/// HTTP status of the response to an operator who submits or reads the routing
/// document.
int StatusOf(document_response::kind outcome);
/// HTTP status of the response to an operator who evacuates a failure domain.
/// An unknown outcome is a 503, with which callers try another process.
int StatusOf(evacuation_outcome outcome);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_ORDER_STATUS_H_
