#ifndef MARJORAMSILL_CONNECTION_PEER_TRANSPORT_SETTINGS_H_
#define MARJORAMSILL_CONNECTION_PEER_TRANSPORT_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "connection/socket_address.h"
#include "connection/tls_settings.h"

namespace marjoramsill {

/// Settings of the connections between VMs.
struct peer_transport_settings {
  /// Name of this VM, sent with each message.
  std::string vm;
  socket_address listen;
  /// Without TLS the connections are plaintext, which is meant for tests on
  /// loopback only.
  std::optional<tls_settings> tls;
  std::chrono::milliseconds connect_timeout{500};
  /// Delay between a failed connection attempt and the next one.
  std::chrono::milliseconds reconnect_delay{200};
  /// Maximum number of messages that wait for a connection to one VM.
  std::size_t max_waiting = 1'000;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_PEER_TRANSPORT_SETTINGS_H_
