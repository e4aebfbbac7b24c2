#ifndef MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_STATUS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "process/daemon/group_runner.h"
#include "process/directory/endpoint_record.h"
#include "types/ids.h"

namespace marjoramsill {

/// What a control process knows of the fleet, for operators.
struct controller_status {
  vm_id vm;
  failure_domain_id domain;
  /// Newest committed document of this process.
  document_version document;
  group_status group;
  /// Other control processes that answered lately.
  std::vector<vm_id> reachable;
  /// Entry VMs that watch this process.
  std::uint32_t entry_count = 0;
  std::vector<endpoint_record> endpoints;
};

/// As the command `status` reads it: one JSON object.
std::string StatusJson(const controller_status& status);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_STATUS_H_
