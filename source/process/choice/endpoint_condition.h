#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CONDITION_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CONDITION_H_

#include "types/steady_time.h"

namespace marjoramsill {

/// Status of one endpoint according to the membership module.
struct endpoint_condition {
  /// The status is up to date, and new requests may be sent, until this time.
  steady_time fresh_until;
  /// False while the endpoint is held down, leaving or has an open circuit.
  bool admitted = true;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CONDITION_H_
