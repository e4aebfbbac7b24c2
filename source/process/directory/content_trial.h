#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_H_

#include <cstdint>

#include "process/directory/content_fault.h"

namespace marjoramsill {

/// Refused content that one request is to be sent with, because other suspected
/// content explains the endpoints that ended under it.
struct content_trial {
  content_digest content;
  /// Clearances of its record at the VM that asks.
  std::uint32_t clearances = 0;

  friend bool operator==(const content_trial&, const content_trial&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_H_
