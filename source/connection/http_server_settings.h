#ifndef MARJORAMSILL_CONNECTION_HTTP_SERVER_SETTINGS_H_
#define MARJORAMSILL_CONNECTION_HTTP_SERVER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "connection/socket_address.h"

namespace marjoramsill {

/// Settings of the server on one listening address.
struct http_server_settings {
  socket_address listen;
  std::size_t max_connections = 10'000;
  /// A connection whose next request is not complete within this time is
  /// closed, so that slow senders do not occupy connections.
  std::chrono::milliseconds read_timeout{30'000};
  /// A caller that reads no data for this long is disconnected. It also bounds
  /// what is buffered for a caller that reads slowly.
  std::chrono::milliseconds write_timeout{30'000};
  /// Longest time from a complete request to the end of its response.
  std::chrono::milliseconds handle_timeout{600'000};
  std::size_t max_target_bytes = 8UL * 1024;
  std::size_t max_field_name_bytes = 256;
  std::size_t max_field_value_bytes = 8UL * 1024;
  std::size_t max_fields = 100;
  /// The connection is closed if a body exceeds this limit. For bodies between
  /// the classifier's own, lower limit and this one the response is a problem
  /// document.
  std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
  /// Memory that the requests of all connections may take, together with those
  /// of other servers on the same I/O context; 0: no limit. A connection that
  /// exceeds it is closed.
  std::size_t max_received_memory = 0;
  /// Called at most once a second when connections are closed because of it, on
  /// any thread of the I/O context.
  std::function<void()> on_memory_exhausted{};
  /// Called when a connection is closed because its input is not a valid
  /// request. May be called on any thread of the I/O context.
  std::function<void(std::string_view reason)> on_invalid_request{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_HTTP_SERVER_SETTINGS_H_
