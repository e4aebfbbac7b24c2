#include "raw_connection.h"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace marjoramsill {

raw_connection::~raw_connection() { Close(); }

int raw_connection::ConnectedSocket(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CPPUNIT_ASSERT(socket >= 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CPPUNIT_ASSERT(::connect(socket, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0);
  return socket;
}

void raw_connection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

void raw_connection::HalfClose() { ::shutdown(socket_, SHUT_WR); }

void raw_connection::Close() {
  if (socket_ >= 0) ::close(socket_);
  socket_ = -1;
}

raw_connection::received raw_connection::Read(
    std::string_view end, std::chrono::milliseconds timeout) {
  received result;
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (end.empty() || result.bytes.find(end) == std::string::npos) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd entry{socket_, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      return result;
    }
    std::array<char, 4096> buffer{};
    const auto count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      result.closed = true;
      return result;
    }
    result.bytes.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return result;
}

}  // namespace marjoramsill
