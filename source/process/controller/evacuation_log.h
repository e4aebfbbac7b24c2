#ifndef MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_LOG_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_LOG_H_

namespace marjoramsill {

struct evacuation_set;

/// The evacuation set of this process has changed to this one.
void LogEvacuations(const evacuation_set& set);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_LOG_H_
