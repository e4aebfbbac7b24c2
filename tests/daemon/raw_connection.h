#ifndef MARJORAMSILL_TESTS_DAEMON_RAW_CONNECTION_H_
#define MARJORAMSILL_TESTS_DAEMON_RAW_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramsill {

/// A blocking TCP connection on loopback, for tests that send bytes which an
/// HTTP library would not. Functions fail the test on an unexpected error.
class raw_connection {
 public:
  /// Takes over a connected socket.
  explicit raw_connection(int socket) : socket_(socket) {}
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  static int ConnectedSocket(std::uint16_t port);

  /// Sends what the other side takes; it may close in between.
  void Send(std::string_view bytes);
  /// Ends the own direction only.
  void HalfClose();
  void Close();

  struct received {
    std::string bytes;
    /// The other side has closed; otherwise the time was over.
    bool closed = false;
  };
  /// Reads until the bytes contain `end` (never, when empty), the other side
  /// closes or the time is over.
  received Read(std::string_view end = {},
                std::chrono::milliseconds timeout = std::chrono::seconds(5));

 private:
  int socket_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_DAEMON_RAW_CONNECTION_H_
