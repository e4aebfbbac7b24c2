#ifndef MARJORAMSILL_CONNECTION_CALLER_LISTENER_H_
#define MARJORAMSILL_CONNECTION_CALLER_LISTENER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection/caller_connection_hooks.h"
#include "connection/listen_error.h"
#include "connection/socket_address.h"
#include "types/result.h"
#include "types/steady_time.h"
#include "version/routing/caller_limits.h"

namespace marjoramsill {

class caller_connection;

/// Accepts and owns the connections of callers. Used on the thread of its I/O
/// context only.
class caller_listener {
 public:
  struct settings {
    socket_address listen;
    std::size_t max_connections = 0;
  };

  caller_listener(asio::io_context& io, settings with,
                  std::function<void(const std::shared_ptr<caller_connection>&,
                                     caller_message)>
                      on_request,
                  std::function<void(parse_state, int)> on_invalid_request,
                  std::function<steady_time()> clock);
  ~caller_listener();
  caller_listener(const caller_listener&) = delete;
  caller_listener& operator=(const caller_listener&) = delete;

  result<void, listen_error> Listen();
  void SetLimits(const caller_limits& limits) { limits_ = limits; }
  /// See caller_connection_hooks::on_unreceived.
  void OnUnreceived(
      std::function<void(std::string_view, std::size_t, std::size_t)> hook) {
    hooks_.on_unreceived = std::move(hook);
  }
  /// Bounds the bytes held for the connections. `refusal`: further fields of
  /// the response to a request that is refused because memory is exhausted.
  /// Call before Listen().
  void SetMemory(memory_budget& budget, http_field_list refusal) {
    hooks_.memory = &budget;
    hooks_.memory_refusal = std::move(refusal);
  }
  /// Checks the timeouts of all connections.
  void Tick(steady_time now);
  /// Closes each connection after its next response.
  void CloseAfterResponses();
  /// Accepts the connections that callers have made already, and no more.
  void StopAccepting();
  void CloseIdle(steady_time now);
  /// Closes all connections because the process ends.
  void CloseAll();
  /// True if a caller waits for a response, or may be about to send a request.
  bool IsBusy(steady_time now) const;
  std::size_t size() const { return connections_.size(); }

 private:
  void Accept();
  void OnAccept(std::error_code error, asio::ip::tcp::socket socket);
  void Add(asio::ip::tcp::socket socket);
  /// Closes the connection whose request has stalled for longest. False if
  /// there is none.
  bool MakeRoom();
  /// A copy: a connection that closes removes itself.
  std::vector<std::shared_ptr<caller_connection>> All() const;

  const settings settings_;
  const std::function<steady_time()> clock_;
  caller_connection_hooks hooks_;
  caller_limits limits_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>>
      connections_;
  bool close_after_responses_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALLER_LISTENER_H_
