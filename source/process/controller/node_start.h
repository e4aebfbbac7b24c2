#ifndef MARJORAMSILL_PROCESS_CONTROLLER_NODE_START_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_NODE_START_H_

#include "connection/peer_transport_settings.h"
#include "process/daemon/start_error.h"

namespace marjoramsill {

struct listen_error;
struct node_settings;

// Start-up helpers shared by entry processes and control processes.

peer_transport_settings PeerSettings(const node_settings& settings);
start_error StartError(const listen_error& error);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_NODE_START_H_
