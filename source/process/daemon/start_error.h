#ifndef MARJORAMSILL_PROCESS_DAEMON_START_ERROR_H_
#define MARJORAMSILL_PROCESS_DAEMON_START_ERROR_H_

#include <string>

namespace marjoramsill {

/// Failure to start a process.
struct start_error {
  /// Setting or file that caused the failure.
  std::string subject;
  std::string reason;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_START_ERROR_H_
