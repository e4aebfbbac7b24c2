#ifndef MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_STATUS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "process/daemon/group_runner.h"
#include "process/directory/endpoint_record.h"
#include "process/directory/evacuation_set.h"
#include "types/ids.h"

namespace marjoramsill {

/// The state of the fleet as seen by one control process, for operators.
struct controller_status {
  vm_id vm;
  failure_domain_id domain;
  /// Version of the newest document that was committed here.
  document_version document;
  /// Newest evacuation set that was committed here.
  evacuation_set evacuations;
  group_status group;
  /// Other control processes that responded recently.
  std::vector<vm_id> reachable;
  /// Number of entry VMs that watch this process.
  std::uint32_t entry_count = 0;
  std::vector<endpoint_record> endpoints;
};

/// One JSON object, in the form that the command `status` reads.
std::string StatusJson(const controller_status& status);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_STATUS_H_
