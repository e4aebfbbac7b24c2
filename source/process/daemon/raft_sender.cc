#include "process/daemon/raft_sender.h"

#include <map>
#include <string>
#include <utility>

#include "connection/peer_transport.h"
#include "process/daemon/peer_kinds.h"
#include "process/replication/slow_transfer.h"

namespace marjoramsill {

void SendRaftMessages(peer_transport& peers,
                      const group_runner::messages& messages,
                      std::chrono::milliseconds timeout,
                      const vm_address_hook& address_of) {
  // A bundle has one sender and one receiver.
  std::map<member_id, group_runner::messages> by_receiver;
  for (const group_message& each : messages) {
    by_receiver[each.message.to].push_back(each);
  }
  for (const auto& [to, bundle] : by_receiver) {
    const std::optional<socket_address> address = address_of(to.vm);
    if (!address) continue;
    std::string body = EncodeBundle(bundle);
    const auto transfer = std::chrono::ceil<std::chrono::milliseconds>(
        SlowTransferTime(body.size()));
    peers.Send(*address, {std::string(kRaftKind), std::move(body), {}},
               timeout + transfer, [](const auto& /*response*/) {});
  }
}

}  // namespace marjoramsill
