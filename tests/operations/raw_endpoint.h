#ifndef MARJORAMSILL_TESTS_OPERATIONS_RAW_ENDPOINT_H_
#define MARJORAMSILL_TESTS_OPERATIONS_RAW_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/socket_address.h"

namespace marjoramsill {

/// What follows the bytes of a raw_answer.
enum class raw_end {
  kClose,
  kReset,
  /// The sending side is closed, and the connection a little later.
  kShutdown,
  /// The connection stays open, and the next request on it is answered.
  kKeep,
  /// The process ends: its connections are closed, and nothing listens any
  /// more.
  kProcessEnd,
};

/// Bytes that a raw_endpoint answers with.
struct raw_answer {
  /// Sent once, after the head of the request was received. "{id}" stands for
  /// the id of the request.
  std::string begin;
  /// Sent again and again until the caller closes; empty: the connection is
  /// closed after `begin`.
  std::string repeated;
  raw_end end = raw_end::kClose;
  /// Sent kLaterDelay after `begin`; "{id}" as there.
  std::string later = {};
  /// Sent one after the other, each after `interval`, and then `repeated`.
  std::vector<std::string> pieces = {};
  std::chrono::milliseconds interval{0};
  /// The answer begins as soon as the head of the request has arrived, and the
  /// body of the request is not read.
  bool ignores_body = false;
};

/// Announces itself as an endpoint of the pool `raw` and answers every request
/// with the same bytes, valid or not.
class raw_endpoint {
 public:
  /// `control`: a control process that receives its heartbeats.
  raw_endpoint(asio::io_context& io, const socket_address& listen,
               std::function<socket_address()> control,
               std::string id = "raw-1");

  void SetAnswer(raw_answer answer) { SetAnswers({std::move(answer)}); }
  /// The next requests get these answers in their order, all others the last.
  void SetAnswers(std::vector<raw_answer> answers);
  /// Requests that have arrived.
  int request_count() const { return request_count_; }
  /// Refuses new connections; those that are open go on.
  void StopListening() { acceptor_.reset(); }
  /// Sends no heartbeat any more, as an endpoint that has signed off.
  void StopHeartbeats() { heartbeat_.cancel(); }
  /// A heartbeat with this number, as one that was on its way for long.
  std::string HeartbeatBody(int sequence) const;
  const std::string& id() const { return id_; }
  /// Listens again after the end of its process or StopListening().
  void Restart();

 private:
  class session;

  void Listen();
  void Accept();
  void EndProcess();
  void SendHeartbeat();
  raw_answer TakeAnswer();
  /// The answer to the next request.
  raw_answer NextAnswer() const;

  asio::io_context& io_;
  const socket_address listen_;
  const std::function<socket_address()> control_;
  const std::string id_;
  std::optional<asio::ip::tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<session>> sessions_;
  asio::steady_timer heartbeat_;
  std::vector<raw_answer> answers_;
  std::size_t next_answer_ = 0;
  int request_count_ = 0;
  int sequence_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_RAW_ENDPOINT_H_
