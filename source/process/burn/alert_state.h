#ifndef MARJORAMSILL_PROCESS_BURN_ALERT_STATE_H_
#define MARJORAMSILL_PROCESS_BURN_ALERT_STATE_H_

namespace marjoramsill {

/// Alert level of a report row.
enum class alert_state { kNone, kWarn, kPage };

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_ALERT_STATE_H_
