#ifndef MARJORAMSILL_TESTS_OPERATIONS_RAW_ENDPOINT_H_
#define MARJORAMSILL_TESTS_OPERATIONS_RAW_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "connection/socket_address.h"

namespace marjoramsill {

/// Bytes that a raw_endpoint answers with.
struct raw_answer {
  /// Sent once, after the head of the request was received. "{id}" stands for
  /// the id of the request.
  std::string begin;
  /// Sent again and again until the caller closes; empty: the connection is
  /// closed after `begin`.
  std::string repeated;
};

/// Announces itself as an endpoint of the pool `raw` and answers every request
/// with the same bytes, valid or not.
class raw_endpoint {
 public:
  /// `control`: a control process that receives its heartbeats.
  raw_endpoint(asio::io_context& io, const socket_address& listen,
               std::function<socket_address()> control);

  void SetAnswer(raw_answer answer) { answer_ = std::move(answer); }

 private:
  class session;

  void Accept();
  void SendHeartbeat();

  asio::io_context& io_;
  const socket_address listen_;
  const std::function<socket_address()> control_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer heartbeat_;
  raw_answer answer_;
  int sequence_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_RAW_ENDPOINT_H_
