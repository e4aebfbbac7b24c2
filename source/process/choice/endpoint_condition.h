#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CONDITION_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CONDITION_H_

#include "types/steady_time.h"

namespace marjoramsill {

/// What the membership module knows about one endpoint.
struct endpoint_condition {
  /// New work may be sent until this time.
  steady_time fresh_until;
  /// False while held down, leaving or with an open circuit.
  bool admitted = true;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CONDITION_H_
