#ifndef MARJORAMSILL_CONNECTION_HTTP_SERVER_SETTINGS_H_
#define MARJORAMSILL_CONNECTION_HTTP_SERVER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "connection/socket_address.h"

namespace marjoramsill {

/// Bounds of one listening address.
struct http_server_settings {
  socket_address listen;
  std::size_t max_connections = 10'000;
  /// A connection whose next request is not complete by then is closed, so
  /// that slow senders do not hold connections.
  std::chrono::milliseconds read_timeout{30'000};
  /// A caller that takes no data for this long is disconnected. It also bounds
  /// what is buffered for a caller that reads slowly.
  std::chrono::milliseconds write_timeout{30'000};
  /// Longest time from a complete request to the end of its answer.
  std::chrono::milliseconds handle_timeout{600'000};
  std::size_t max_target_bytes = 8UL * 1024;
  std::size_t max_field_name_bytes = 256;
  std::size_t max_field_value_bytes = 8UL * 1024;
  std::size_t max_fields = 100;
  /// Hard bound at which the connection is closed. The classifier answers
  /// bodies between its own bound and this one with a problem.
  std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
  /// Told of a connection that is closed because its bytes are no acceptable
  /// request. Runs on any thread of the I/O context.
  std::function<void(std::string_view reason)> on_unreadable{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_HTTP_SERVER_SETTINGS_H_
