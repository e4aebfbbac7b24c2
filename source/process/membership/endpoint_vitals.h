#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_VITALS_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_VITALS_H_

#include "types/steady_time.h"

namespace marjoramsill {

/// What changes often about an endpoint besides its announced load.
struct endpoint_vitals {
  /// False while it is held down or its circuit is open.
  bool admitted = false;
  /// New work may be sent until this time unless evidence is renewed.
  steady_time fresh_until;
  /// When the announced load was reported.
  steady_time load_at;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_VITALS_H_
