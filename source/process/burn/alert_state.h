#ifndef MARJORAMSILL_PROCESS_BURN_ALERT_STATE_H_
#define MARJORAMSILL_PROCESS_BURN_ALERT_STATE_H_

namespace marjoramsill {

enum class alert_state { kQuiet, kWarn, kPage };

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_ALERT_STATE_H_
