#ifndef MARJORAMSILL_CONNECTION_CALLER_CONNECTION_H_
#define MARJORAMSILL_CONNECTION_CALLER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "connection/caller_connection_hooks.h"
#include "connection/disconnect_cause.h"
#include "connection/memory_account.h"
#include "connection/request_parser.h"
#include "request/http_field.h"
#include "types/steady_time.h"
#include "version/routing/caller_limits.h"

namespace marjoramsill {

/// One HTTP/1.1 connection of a caller. Requests are handled one after the
/// other. The connection is also read while a request is handled, to detect
/// that the caller has disconnected. Used on the thread of its I/O context
/// only.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(asio::ip::tcp::socket socket,
                    const caller_connection_hooks& hooks,
                    const caller_limits& limits, steady_time now);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void Start();

  // The response to the request in progress: Respond(), or Begin(), Write() any
  // number of times and End(). Abort() closes the connection, so that the
  // caller detects a truncated response.
  void Respond(int status, const http_field_list& fields,
               std::string_view body);
  /// Without a length the body is sent in chunks, or until the connection is
  /// closed if the caller does not accept chunks. Such a caller gets a reset
  /// unless the response is sent up to End().
  void Begin(int status, const http_field_list& fields,
             std::optional<std::uint64_t> length);
  void Write(std::string_view data);
  /// From now on responses without a length end with the connection, as for a
  /// caller that accepts no chunks.
  void SendWithoutChunks() { accepts_chunks_ = false; }
  void End();
  void Abort();
  /// Bytes of responses that the kernel has not taken yet.
  std::size_t unsent_bytes() const { return output_.size() - written_; }
  /// Bytes that were sent and not acknowledged by the caller's host, an
  /// announced end of the connection included.
  std::size_t unacknowledged_bytes();
  /// Sends the data that Write() has buffered.
  void Flush();

  using disconnect_hook = std::function<void(disconnect_cause)>;

  /// Sets the hook that is called once if the connection ends before the end of
  /// the response.
  void OnCallerDisconnected(disconnect_hook hook) {
    on_disconnect_ = std::move(hook);
  }
  /// Closes the connection after the next response that can announce it, unless
  /// the caller has sent a further request by then.
  void CloseAfterResponse() { close_after_response_ = true; }
  /// Closes the connection if it has been idle, has been receiving the head of
  /// a request, or has received nothing of its body for longer than the limits
  /// allow. Must be called several times a second.
  void CheckTimeouts(const caller_limits& limits, steady_time now);
  /// Closes the connection if no request is on its way, as far as is known.
  void CloseIfIdle(steady_time now);
  /// A request is being received or handled, or its response is not received
  /// yet, or the caller has just connected to send one.
  bool IsBusy(steady_time now);
  bool has_request() const { return has_request_; }
  /// Time in which nothing has arrived of a request that is not complete.
  std::chrono::microseconds StalledTime(steady_time now) const;
  /// Closes the connection without a response to make room for another one.
  void CloseStalled();
  /// Id of the request in progress, for on_unreceived.
  void SetRequestId(std::string id) { request_id_ = std::move(id); }
  /// Closes the connection because the process ends. The kernel gets as much of
  /// the response as it takes, and goes on to deliver it.
  void CloseAtEnd();
  /// Counts what the request in progress makes its process hold.
  memory_account& memory() { return memory_; }
  /// IP of the caller; empty if the connection has ended.
  std::string RemoteIp() const;

 private:
  void ReadNext();
  void OnRead(std::error_code error, std::size_t bytes);
  void Parse();
  void RefuseInvalidRequest();
  /// Responds to a request of which no more is read, and closes the connection
  /// so that the response arrives.
  void Refuse(int status, const http_field_list& fields);
  /// Refuses a request that is not handled yet, since the memory for requests
  /// is exhausted.
  void RefuseForMemory();
  /// Closes the connection because the memory for connections is exhausted. A
  /// request that has not run is refused.
  void CloseForMemory();
  void CountIncoming();
  /// Refuses a complete request that exceeds the memory for connections.
  /// `held_bytes`: what the parser held of it. Returns whether it can be
  /// handled.
  bool CountRequest(std::size_t held_bytes);
  /// Releases the part of the output that was sent.
  void ReleaseSent();
  void HandleRequest();
  void HandleDisconnect(disconnect_cause cause);
  /// The time in which the caller's host acknowledges a response is no idle
  /// time.
  void CheckDelivery();
  void FinishResponse();
  void Send();
  void WaitWritable();
  void StartLinger();
  void Close();
  /// As Close(), with ReportUnreceived().
  void CloseAndReport();
  /// Reports a response that the caller's host has not acknowledged, if there
  /// is one.
  void ReportUnreceived();
  void AppendHead(int status, const http_field_list& fields);
  /// The caller has connected within the last second, and sent nothing yet.
  bool IsNew(steady_time now) const;
  /// Further bytes of the caller have arrived.
  bool HasInput();
  /// Makes any close of the connection, also by the end of the process, a
  /// reset.
  void SetResetOnClose(bool resets);

  asio::ip::tcp::socket socket_;
  const caller_connection_hooks& hooks_;
  request_parser parser_;
  std::array<char, 8192> buffer_;
  /// Received bytes that are not yet parsed, such as a pipelined request.
  std::string input_;
  std::string output_;
  std::size_t written_ = 0;
  /// Bytes of the last response that the caller's host had not acknowledged at
  /// the last CheckDelivery(), if there was one.
  std::optional<std::size_t> unreceived_;
  /// The caller's host has acknowledged all responses.
  bool is_received_ = true;
  memory_account memory_;
  disconnect_hook on_disconnect_;
  std::string request_id_;
  bool is_open_ = true;
  bool reading_ = false;
  bool waiting_writable_ = false;
  bool has_request_ = false;
  bool is_chunked_ = false;
  /// The end of the response in progress is that of the connection.
  bool ends_with_connection_ = false;
  bool keep_alive_ = true;
  bool accepts_chunks_ = true;
  bool close_after_response_ = false;
  /// The head of the response in progress announced that the connection is
  /// closed after it.
  bool announced_close_ = false;
  /// The caller has sent something.
  bool has_received_ = false;
  /// The last response was handed to the kernel, as far as it takes it; further
  /// input is discarded.
  bool is_lingering_ = false;
  const steady_time accepted_at_;
  steady_time now_;
  /// Time at which the connection became idle or the current head began.
  steady_time idle_since_;
  steady_time received_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALLER_CONNECTION_H_
