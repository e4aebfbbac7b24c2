#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_GROUP_SETTINGS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_GROUP_SETTINGS_H_

#include <cstddef>

#include "process/replication/raft_settings.h"

namespace marjoramsill {

/// Settings of the group that replicates the routing document.
/// `tolerated_losses`: VMs with a disk that may be lost at the same time.
raft_settings DocumentGroupSettings(std::size_t tolerated_losses);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_GROUP_SETTINGS_H_
