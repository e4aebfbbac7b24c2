#ifndef MARJORAMSILL_TESTS_DAEMON_RAW_CONNECTION_H_
#define MARJORAMSILL_TESTS_DAEMON_RAW_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramsill {

/// A blocking TCP connection on loopback, for tests that send bytes which an
/// HTTP library would not send. Functions fail the test on an unexpected error.
class raw_connection {
 public:
  /// Takes ownership of a connected socket.
  explicit raw_connection(int socket) : socket_(socket) {}
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  static int ConnectedSocket(std::uint16_t port);

  /// Sends the bytes; stops without an error if the other side closes the
  /// connection.
  void Send(std::string_view bytes);
  /// Closes the sending direction only.
  void HalfClose();
  void Close();

  struct received {
    std::string bytes;
    /// Whether the other side has closed the connection.
    bool closed = false;
  };
  /// Reads until the bytes contain `end` (if not empty), the other side closes
  /// the connection, or the timeout has expired.
  received Read(std::string_view end = {},
                std::chrono::milliseconds timeout = std::chrono::seconds(5));

 private:
  int socket_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_DAEMON_RAW_CONNECTION_H_
