#ifndef MARJORAMSILL_CONNECTION_PEER_CHANNEL_H_
#define MARJORAMSILL_CONNECTION_PEER_CHANNEL_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "connection/peer_error.h"
#include "connection/peer_transport_settings.h"
#include "connection/vm_message.h"
#include "types/result.h"

namespace marjoramsill {

class byte_stream;
class http2_session;
class tls_context_source;

/// Outgoing connection to one VM: connects on the first message, reconnects
/// after a loss, and applies a timeout to each message. Used on the peer I/O
/// thread only.
class peer_channel : public std::enable_shared_from_this<peer_channel> {
 public:
  using response_handler = std::function<void(result<std::string, peer_error>)>;

  /// `tls` is null for plaintext. Both `tls` and `sent_bytes` must outlive the
  /// channel.
  peer_channel(asio::io_context& io, const peer_transport_settings& settings,
               socket_address remote, tls_context_source* tls,
               std::atomic<std::uint64_t>& sent_bytes);
  ~peer_channel();
  peer_channel(const peer_channel&) = delete;
  peer_channel& operator=(const peer_channel&) = delete;

  /// The handler runs exactly once.
  void Send(vm_message message, std::chrono::milliseconds timeout,
            response_handler done);
  void Close();

 private:
  /// A message whose response is awaited.
  struct pending_message;

  void Connect();
  template <class Stream, class Context>
  void ConnectStream(Stream stream, std::shared_ptr<Context> context);
  void OnConnected(std::unique_ptr<byte_stream> stream);
  void OnConnectFailed();
  void Dispatch(const std::shared_ptr<pending_message>& pending);
  void OnTimeout(const std::shared_ptr<pending_message>& pending);

  asio::io_context& io_;
  const peer_transport_settings settings_;
  const socket_address remote_;
  tls_context_source* const tls_;
  std::atomic<std::uint64_t>& sent_bytes_;
  std::shared_ptr<http2_session> session_;
  std::vector<std::shared_ptr<pending_message>> waiting_;
  bool connecting_ = false;
  std::chrono::steady_clock::time_point next_connect_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_PEER_CHANNEL_H_
