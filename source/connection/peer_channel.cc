#include "connection/peer_channel.h"

#include <asio/ip/tcp.hpp>
#include <asio/ssl/context.hpp>
#include <asio/ssl/stream.hpp>
#include <type_traits>
#include <utility>

#include "connection/asio_byte_stream.h"
#include "connection/http2_session.h"
#include "connection/tls_context_source.h"

namespace marjoramsill {
namespace {

using tcp_socket = asio::ip::tcp::socket;
using tls_stream = asio::ssl::stream<tcp_socket>;

/// Placeholder for streams that need no context.
struct no_context {};

}  // namespace

struct peer_channel::pending_message {
  pending_message(asio::io_context& io, vm_message text, response_handler hook)
      : message(std::move(text)), done(std::move(hook)), timer(io) {}

  void Finish(result<std::string, peer_error> response) {
    if (!done) return;
    timer.cancel();
    response_handler hook = std::move(done);
    done = nullptr;
    hook(std::move(response));
  }

  vm_message message;
  response_handler done;
  asio::steady_timer timer;
  bool dispatched = false;
  std::chrono::steady_clock::time_point dispatched_at;
  std::int32_t stream = 0;
};

peer_channel::peer_channel(asio::io_context& io,
                           const peer_transport_settings& settings,
                           socket_address remote, tls_context_source* tls,
                           std::atomic<std::uint64_t>& sent_bytes)
    : io_(io),
      settings_(settings),
      remote_(std::move(remote)),
      tls_(tls),
      sent_bytes_(sent_bytes) {}

peer_channel::~peer_channel() = default;

void peer_channel::Send(vm_message message, std::chrono::milliseconds timeout,
                        response_handler done) {
  auto pending = std::make_shared<pending_message>(io_, std::move(message),
                                                   std::move(done));
  if (waiting_.size() >= settings_.max_waiting) {
    pending->Finish(failure(peer_error::kQueueFull));
    return;
  }
  pending->timer.expires_after(timeout);
  pending->timer.async_wait(
      [self = shared_from_this(), pending](std::error_code error) {
        if (!error) self->OnTimeout(pending);
      });
  if (session_ && !session_->is_closed()) {
    Dispatch(pending);
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  if (!connecting_ && now < next_connect_) {
    // Fails immediately, so that the sender does not wait for a VM that is
    // down.
    pending->Finish(failure(peer_error::kUnreachable));
    return;
  }
  waiting_.push_back(pending);
  if (!connecting_) Connect();
}

void peer_channel::Dispatch(const std::shared_ptr<pending_message>& pending) {
  if (!pending->done) return;
  pending->dispatched = true;
  pending->dispatched_at = std::chrono::steady_clock::now();
  pending->stream = session_->Send(
      pending->message, [pending](result<std::string, peer_error> response) {
        pending->Finish(std::move(response));
      });
}

void peer_channel::OnTimeout(const std::shared_ptr<pending_message>& pending) {
  if (!pending->done) return;
  std::erase(waiting_, pending);
  pending->Finish(failure(pending->dispatched ? peer_error::kTimedOut
                                              : peer_error::kUnreachable));
  if (!pending->dispatched || !session_) return;
  if (session_->last_received() > pending->dispatched_at) {
    // The link is busy, and carries the responses to other messages.
    session_->Cancel(pending->stream);
    return;
  }
  // A timeout may be caused by a network partition, which a new connection
  // detects sooner than TCP does on the old one.
  session_->Close();
}

void peer_channel::Connect() {
  connecting_ = true;
  if (tls_ == nullptr) {
    ConnectStream(tcp_socket(io_), std::make_shared<no_context>());
    return;
  }
  auto context = tls_->Current();
  if (!context) {
    OnConnectFailed();
    return;
  }
  tls_stream stream(io_, *context.assume_value());
  ConnectStream(std::move(stream), context.assume_value());
}

template <class Stream, class Context>
void peer_channel::ConnectStream(Stream stream,
                                 std::shared_ptr<Context> context) {
  using stream_type = asio_byte_stream<Stream, Context>;
  auto connection = std::make_shared<std::unique_ptr<stream_type>>(
      std::make_unique<stream_type>(std::move(stream), std::move(context)));
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(settings_.connect_timeout);
  timer->async_wait([connection](std::error_code error) {
    if (!error && *connection) (*connection)->Close();
  });
  const auto finish = [self = shared_from_this(), connection,
                       timer](std::error_code error) {
    timer->cancel();
    if (error) {
      self->OnConnectFailed();
    } else {
      self->OnConnected(std::move(*connection));
    }
  };
  const asio::ip::tcp::endpoint target(asio::ip::make_address(remote_.ip),
                                       remote_.port);
  auto& transport = (*connection)->stream();
  transport.lowest_layer().async_connect(target, [connection, finish](
                                                     std::error_code error) {
    if (error) {
      finish(error);
      return;
    }
    auto& connected = (*connection)->stream();
    std::error_code ignored;
    connected.lowest_layer().set_option(asio::ip::tcp::no_delay(true), ignored);
    if constexpr (std::is_same_v<Stream, tls_stream>) {
      connected.async_handshake(asio::ssl::stream_base::client, finish);
    } else {
      finish({});
    }
  });
}

void peer_channel::OnConnected(std::unique_ptr<byte_stream> stream) {
  connecting_ = false;
  session_ = std::make_shared<http2_session>(http2_session::role::kClient,
                                             std::move(stream), nullptr,
                                             nullptr, sent_bytes_);
  session_->Start();
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (const auto& pending : waiting) Dispatch(pending);
}

void peer_channel::OnConnectFailed() {
  connecting_ = false;
  next_connect_ = std::chrono::steady_clock::now() + settings_.reconnect_delay;
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (const auto& pending : waiting) {
    pending->Finish(failure(peer_error::kUnreachable));
  }
}

void peer_channel::Close() {
  if (session_) session_->Close();
}

}  // namespace marjoramsill
