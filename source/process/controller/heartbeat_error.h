#ifndef MARJORAMSILL_PROCESS_CONTROLLER_HEARTBEAT_ERROR_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_HEARTBEAT_ERROR_H_

#include <string>

namespace marjoramsill {

/// Why a heartbeat describes no usable endpoint.
struct heartbeat_error {
  /// Field that is missing or out of range; "body" if the whole is unreadable.
  std::string field;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_HEARTBEAT_ERROR_H_
