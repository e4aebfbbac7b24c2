#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_DECISION_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_DECISION_H_

namespace marjoramsill {

/// kWaiting: the outcome follows as a limit_action within
/// limit_settings::share_wait_timeout.
enum class limit_decision { kAccepted, kWaiting, kRefused };

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_DECISION_H_
