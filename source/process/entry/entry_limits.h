#ifndef MARJORAMSILL_PROCESS_ENTRY_ENTRY_LIMITS_H_
#define MARJORAMSILL_PROCESS_ENTRY_ENTRY_LIMITS_H_

#include <cstddef>

#include "process/controller/node_settings.h"
#include "process/placement/placement_settings.h"

namespace marjoramsill {

placement_settings PlacementSettings(const node_settings& settings);

/// Derived from the process's limit of open files.
std::size_t MaxCallerConnections();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ENTRY_LIMITS_H_
