#ifndef MARJORAMSILL_CONNECTION_SOCKET_ADDRESS_H_
#define MARJORAMSILL_CONNECTION_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramsill {

/// An IP address and a TCP port.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const socket_address&,
                         const socket_address&) = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are not accepted,
/// because processes address each other by IP address.
std::optional<socket_address> ParseSocketAddress(std::string_view text);

std::string FormatSocketAddress(const socket_address& address);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_SOCKET_ADDRESS_H_
