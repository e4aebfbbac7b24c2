#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_AVAILABILITY_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_AVAILABILITY_H_

#include "types/steady_time.h"

namespace marjoramsill {

/// Properties of an endpoint, apart from its reported load, that change often.
struct endpoint_availability {
  /// False while the endpoint is held down or its circuit is open.
  bool admitted = false;
  /// New work may be sent until this time; newer liveness evidence extends it.
  steady_time fresh_until;
  /// Time of the latest load report.
  steady_time load_at;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_AVAILABILITY_H_
