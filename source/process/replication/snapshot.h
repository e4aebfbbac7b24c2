#ifndef MARJORAMSILL_PROCESS_REPLICATION_SNAPSHOT_H_
#define MARJORAMSILL_PROCESS_REPLICATION_SNAPSHOT_H_

#include <memory>
#include <string>

#include "process/replication/group_configuration.h"
#include "types/ids.h"

namespace marjoramsill {

/// State of the state machine after the entry `index` of term `term`.
struct snapshot {
  log_index index;
  log_term term;
  group_configuration configuration;
  /// Serialized state machine; null means empty (a new group).
  std::shared_ptr<const std::string> data;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_SNAPSHOT_H_
