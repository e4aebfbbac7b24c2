#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/endpoint_call_hooks.h"
#include "connection/response_parser.h"
#include "connection/socket_address.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// One HTTP/1.1 connection to an endpoint, with one call at a time. Used on the
/// thread of its I/O context only. It is read from the moment it is
/// established, also while it is idle, to detect its end or unexpected bytes
/// before a call.
class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection> {
 public:
  /// Called when an idle connection has ended.
  using idle_end_hook = std::function<void(endpoint_connection&)>;

  endpoint_connection(asio::io_context& io, socket_address remote,
                      idle_end_hook on_idle_end);
  ~endpoint_connection();
  endpoint_connection(const endpoint_connection&) = delete;
  endpoint_connection& operator=(const endpoint_connection&) = delete;

  /// Local IP of the connection; empty: chosen by the system. Call before
  /// Connect().
  void SetSource(const std::string& ip) { source_ = ip; }
  /// `done` receives whether the connection was established.
  void Connect(std::function<void(bool)> done);
  /// Sends one request. `head_request`: its response has no body.
  void Send(std::string bytes, bool head_request, endpoint_call_hooks hooks);
  /// Closes the connection; no hook is called afterwards.
  void Close();

  bool is_open() const { return is_open_; }
  /// Whether the connection is open and has no call in progress.
  bool IsReusable() const;
  /// Whether any byte of the current call's request has been written to the
  /// socket.
  bool has_sent() const { return has_sent_; }
  /// Whether the endpoint's host has received the whole request, as far as is
  /// known. If an answer without a length ends before, it may be a part.
  bool is_request_received() const { return is_request_received_; }
  /// Whether the connection carried another call before the current one.
  bool is_reused() const { return calls_ > 1; }
  /// Checks an idle connection for an end or unexpected bytes that have arrived
  /// but were not read yet. Returns whether it can be used.
  bool CheckIdle();
  /// Bytes read since the connection was established.
  std::uint64_t bytes_read() const { return bytes_read_; }
  const socket_address& remote() const { return remote_; }
  /// When the connection was established: it leads to the process that had the
  /// address then.
  steady_time opened_at() const { return opened_at_; }
  void set_opened_at(steady_time time) { opened_at_ = time; }
  steady_time idle_since() const { return idle_since_; }
  void set_idle_since(steady_time time) { idle_since_ = time; }
  /// How long the endpoint keeps an idle connection, as last declared by it.
  std::chrono::milliseconds idle_limit() const { return idle_limit_; }

 private:
  std::error_code BindSource();
  void SetOptions();
  void Write();
  void WaitWritable();
  void ReadNext();
  void OnRead(std::error_code error, std::size_t bytes);
  void OnBytes(std::string_view bytes);
  void BeginResponse();
  void OnHeadRead();
  void OnEnd(std::error_code error);
  void Fail(call_failure failure);
  void FinishCall();
  /// Whether nothing of the request is unsent, unacknowledged or reset.
  bool HasDeliveredRequest();
  void UpdateIdleLimit(const endpoint_response_head& head);
  void Shutdown();

  asio::ip::tcp::socket socket_;
  const socket_address remote_;
  std::string source_;
  const idle_end_hook on_idle_end_;
  response_parser parser_;
  endpoint_call_hooks hooks_;
  std::string output_;
  std::size_t written_ = 0;
  bool is_open_ = false;
  /// Calls so far, the current one included.
  std::uint64_t calls_ = 0;
  bool in_call_ = false;
  bool has_sent_ = false;
  bool is_request_received_ = false;
  bool head_seen_ = false;
  bool head_request_ = false;
  /// The current response belongs to an earlier call and is skipped.
  bool skipping_ = false;
  /// The connection cannot be reused, for example because a response to an
  /// earlier request arrived and later responses may be out of order.
  bool close_after_call_ = false;
  bool reading_ = false;
  std::uint64_t bytes_read_ = 0;
  steady_time opened_at_;
  steady_time idle_since_;
  std::chrono::milliseconds idle_limit_;
  std::array<char, 16384> buffer_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_H_
