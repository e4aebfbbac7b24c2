#include "process/controller/node_start.h"

#include "connection/listen_error.h"
#include "connection/socket_address.h"
#include "process/controller/node_settings.h"

namespace marjoramsill {

peer_transport_settings PeerSettings(const node_settings& settings) {
  peer_transport_settings peers;
  peers.vm = settings.vm.value();
  peers.listen = settings.peers_bind.value_or(settings.peers);
  return peers;
}

start_error StartError(const listen_error& error) {
  return {FormatSocketAddress(error.address), error.reason};
}

}  // namespace marjoramsill
