#ifndef MARJORAMSILL_TESTS_SOAK_LINK_PROXY_H_
#define MARJORAMSILL_TESTS_SOAK_LINK_PROXY_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <list>
#include <memory>

#include "connection/socket_address.h"

namespace marjoramsill::soak {

enum class link_mode {
  kPass,
  /// Delivers bytes with a delay.
  kDelay,
  /// Drops all bytes; connections stay open and new ones are accepted.
  kDropAll,
  /// Drops only bytes towards the target.
  kDropToTarget,
  /// Drops only bytes from the target.
  kDropFromTarget,
  /// Closes new connections at once.
  kRefuse,
};

/// Loopback proxy in front of one address that injects connection faults.
class link_proxy {
 public:
  link_proxy(asio::io_context& io, const socket_address& listen,
             socket_address target);
  ~link_proxy();
  link_proxy(const link_proxy&) = delete;
  link_proxy& operator=(const link_proxy&) = delete;

  /// The connections that are open now carry nothing more, but stay open; new
  /// ones work.
  void Silence();
  /// While it does not listen, connections are refused.
  void Listen(bool listens);
  void SetMode(link_mode mode);
  /// Resets all open connections.
  void Reset();

 private:
  class link;
  void Accept();

  asio::io_context& io_;
  const asio::ip::tcp::endpoint listen_;
  const socket_address target_;
  asio::ip::tcp::acceptor acceptor_;
  std::list<std::weak_ptr<link>> links_;
  std::shared_ptr<link_mode> mode_;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_LINK_PROXY_H_
