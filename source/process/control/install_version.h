#ifndef MARJORAMSILL_PROCESS_CONTROL_INSTALL_VERSION_H_
#define MARJORAMSILL_PROCESS_CONTROL_INSTALL_VERSION_H_

#include <memory>
#include <vector>

#include "version/policy_snapshot.h"
#include "version/section_error.h"

namespace marjoramsill {

/// Puts a snapshot in force. A VM with a disk persists the snapshot's version
/// first and passes it as `follower_start::minimum_version` after a restart.
struct install_version {
  std::shared_ptr<const policy_snapshot> snapshot;
  /// Sections that could not be compiled and keep their previous content. The
  /// owner logs them.
  std::vector<section_error> errors;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_INSTALL_VERSION_H_
