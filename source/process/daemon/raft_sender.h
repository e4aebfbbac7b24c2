#ifndef MARJORAMSILL_PROCESS_DAEMON_RAFT_SENDER_H_
#define MARJORAMSILL_PROCESS_DAEMON_RAFT_SENDER_H_

#include <chrono>
#include <functional>
#include <optional>

#include "process/daemon/group_runner.h"

namespace marjoramsill {

class peer_transport;
struct socket_address;

/// Address of a VM for messages between VMs; empty if the VM is unknown.
using vm_address_hook =
    std::function<std::optional<socket_address>(const vm_id&)>;

/// Sends the messages of replicated groups, those to one receiver as one
/// bundle. A bundle is given up after `timeout` and the time of a slow transfer
/// of its bytes.
void SendRaftMessages(peer_transport& peers,
                      const group_runner::messages& messages,
                      std::chrono::milliseconds timeout,
                      const vm_address_hook& address_of);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_RAFT_SENDER_H_
