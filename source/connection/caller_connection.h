#ifndef MARJORAMSILL_CONNECTION_CALLER_CONNECTION_H_
#define MARJORAMSILL_CONNECTION_CALLER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "connection/caller_connection_hooks.h"
#include "connection/request_parser.h"
#include "request/http_field.h"
#include "types/steady_time.h"
#include "version/routing/caller_limits.h"

namespace marjoramsill {

/// One HTTP/1.1 connection of a caller. Requests are answered one after the
/// other; while one is answered the connection is read on, so that its end is
/// noticed. Used from the thread of its I/O context only.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(asio::ip::tcp::socket socket,
                    const caller_connection_hooks& hooks,
                    const caller_limits& limits, steady_time now);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void Start();

  // The answer to the request in progress: Respond(), or Begin(), Write() any
  // number of times and End(). Abort() cuts an answer off visibly.
  void Respond(int status, const http_field_list& fields,
               std::string_view body);
  /// Without a length the body is sent in chunks.
  void Begin(int status, const http_field_list& fields,
             std::optional<std::uint64_t> length);
  void Write(std::string_view data);
  void End();
  void Abort();
  /// Sends what Write() collected.
  void Flush();

  /// Called once if the caller leaves before the end of the answer.
  void OnCallerGone(std::function<void()> hook) { on_gone_ = std::move(hook); }
  /// The answer in progress, or the next one, ends the connection.
  void CloseAfterAnswer() { close_after_answer_ = true; }
  /// Closes the connection if it has been idle, or sends its head, for longer
  /// than the limits allow. Call several times a second.
  void CheckTime(const caller_limits& limits, steady_time now);
  void CloseIfIdle();
  bool has_request() const { return has_request_; }

 private:
  void ReadNext();
  void OnRead(std::error_code error, std::size_t bytes);
  void Parse();
  void RefuseUnreadable();
  void TakeRequest();
  void OnCallerEnd();
  void FinishAnswer();
  void Send();
  void WaitWritable();
  void StartLinger();
  void Close();
  void AppendHead(int status, const http_field_list& fields);

  asio::ip::tcp::socket socket_;
  const caller_connection_hooks& hooks_;
  request_parser parser_;
  std::array<char, 8192> buffer_;
  /// Received and not yet parsed: a pipelined request.
  std::string input_;
  std::string output_;
  std::size_t written_ = 0;
  std::function<void()> on_gone_;
  bool is_open_ = true;
  bool reading_ = false;
  bool waiting_writable_ = false;
  bool has_request_ = false;
  bool is_chunked_ = false;
  bool keep_alive_ = true;
  bool accepts_chunks_ = true;
  bool close_after_answer_ = false;
  /// The last answer is sent; what still arrives is dropped.
  bool is_lingering_ = false;
  steady_time now_;
  /// Start of the present idle time or head.
  steady_time quiet_since_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALLER_CONNECTION_H_
