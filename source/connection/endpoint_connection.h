#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/answer_parser.h"
#include "connection/endpoint_call_hooks.h"
#include "connection/socket_address.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// One HTTP/1.1 connection to an endpoint, with one call at a time. Used from
/// the thread of its I/O context only. It reads also while it is idle, so that
/// an end of the connection or unexpected bytes are noticed before its reuse.
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

  /// `done` gets true once the connection is established.
  void Connect(std::function<void(bool)> done);
  /// Sends one request. `head_request`: its answer has no body.
  void Send(std::string bytes, bool head_request, endpoint_call_hooks hooks);
  /// Ends the connection; no hook is called any more.
  void Close();

  bool is_open() const { return is_open_; }
  /// The call has ended and another one may be sent.
  bool IsReusable() const;
  /// Some bytes of the present call's request were handed to the network.
  bool has_sent() const { return has_sent_; }
  /// Finds an end of the connection that has arrived but was not yet read.
  bool CheckIdle();
  const socket_address& remote() const { return remote_; }
  steady_time idle_since() const { return idle_since_; }
  void set_idle_since(steady_time time) { idle_since_ = time; }
  /// How long the endpoint keeps an idle connection, as it said last.
  std::chrono::milliseconds idle_limit() const { return idle_limit_; }

 private:
  void SetOptions();
  void Write();
  void WaitWritable();
  void ReadNext();
  void OnRead(std::error_code error, std::size_t bytes);
  void OnBytes(std::string_view bytes);
  void BeginAnswer();
  void OnHeadRead();
  void OnEnd(std::error_code error);
  void Fail(call_failure failure);
  void FinishCall();
  void NoteIdleLimit(const answer_head& head);
  void Shutdown();

  asio::ip::tcp::socket socket_;
  const socket_address remote_;
  const idle_end_hook on_idle_end_;
  answer_parser parser_;
  endpoint_call_hooks hooks_;
  std::string output_;
  std::size_t written_ = 0;
  bool is_open_ = false;
  bool in_call_ = false;
  bool has_sent_ = false;
  bool head_seen_ = false;
  bool head_request_ = false;
  /// The present answer is not the call's own.
  bool skipping_ = false;
  /// An answer to an earlier request arrived: the order of the answers cannot
  /// be relied on after this call.
  bool is_out_of_step_ = false;
  bool reading_ = false;
  steady_time idle_since_;
  std::chrono::milliseconds idle_limit_;
  std::array<char, 16384> buffer_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_H_
