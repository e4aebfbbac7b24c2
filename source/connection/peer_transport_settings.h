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
  /// Name of this VM, which its messages carry.
  std::string vm;
  socket_address listen;
  /// Without TLS the connections are plaintext, which is for trials on
  /// loopback only.
  std::optional<tls_settings> tls;
  std::chrono::milliseconds connect_timeout{500};
  /// Pause after a failed connection before the next try.
  std::chrono::milliseconds reconnect_pause{200};
  /// Messages that may wait for one VM.
  std::size_t max_waiting = 1'000;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_PEER_TRANSPORT_SETTINGS_H_
