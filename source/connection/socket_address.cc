#include "connection/socket_address.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <limits>
#include <system_error>

namespace marjoramsill {

std::optional<socket_address> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  std::error_code error;
  const auto address = asio::ip::make_address(std::string(host), error);
  if (error || address.is_v6() != bracketed) return std::nullopt;
  unsigned port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 ||
      port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return socket_address{address.to_string(), static_cast<std::uint16_t>(port)};
}

std::string FormatSocketAddress(const socket_address& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

}  // namespace marjoramsill
