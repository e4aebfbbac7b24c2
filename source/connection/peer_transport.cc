#include "connection/peer_transport.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/ssl/context.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "connection/asio_byte_stream.h"
#include "connection/http2_session.h"
#include "connection/peer_channel.h"
#include "connection/tls_context_source.h"

namespace marjoramsill {
namespace {

using tcp_socket = asio::ip::tcp::socket;
using tls_stream = asio::ssl::stream<tcp_socket>;

/// Placeholder for streams that need no context.
struct no_context {};

// A TLS handshake that takes longer is aborted.
constexpr std::chrono::seconds kHandshakeTimeout{5};

}  // namespace

class peer_transport::implementation {
 public:
  implementation(const peer_transport_settings& settings,
                 message_handler handle)
      : settings_(settings),
        handle_(std::move(handle)),
        work_(asio::make_work_guard(io_)),
        acceptor_(io_) {
    if (settings_.tls) tls_.emplace(*settings_.tls);
  }

  ~implementation() { Stop(); }

  result<void, listen_error> Listen() {
    if (tls_) {
      auto context = tls_->Current();
      if (!context) {
        const tls_error& error = context.assume_error();
        return failure(
            listen_error{settings_.listen, error.file + ": " + error.reason});
      }
    }
    try {
      const asio::ip::tcp::endpoint local(
          asio::ip::make_address(settings_.listen.ip), settings_.listen.port);
      acceptor_.open(local.protocol());
      acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      acceptor_.bind(local);
      acceptor_.listen();
    } catch (const std::system_error& error) {
      return failure(listen_error{settings_.listen, error.code().message()});
    }
    Accept();
    thread_ = std::thread([this] { io_.run(); });
    return success();
  }

  void Send(const socket_address& remote, vm_message message,
            std::chrono::milliseconds timeout, response_handler done) {
    message.from = settings_.vm;
    asio::post(io_, [this, remote, message = std::move(message), timeout,
                     done = std::move(done)]() mutable {
      Channel(remote).Send(std::move(message), timeout, std::move(done));
    });
  }

  void RunAfter(std::chrono::milliseconds delay, std::function<void()> task) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(delay);
    timer->async_wait([timer, task = std::move(task)](std::error_code error) {
      if (!error) task();
    });
  }

  void Stop() {
    if (!thread_.joinable()) return;
    asio::post(io_, [this] {
      std::error_code ignored;
      acceptor_.close(ignored);
      for (const auto& [address, channel] : channels_) channel->Close();
      const auto sessions = sessions_;
      for (const auto& session : sessions) session->Close();
      work_.reset();
      io_.stop();
    });
    thread_.join();
  }

  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  peer_channel& Channel(const socket_address& remote) {
    const std::string name = FormatSocketAddress(remote);
    std::shared_ptr<peer_channel>& channel = channels_[name];
    if (!channel) {
      channel = std::make_shared<peer_channel>(
          io_, settings_, remote, tls_ ? &*tls_ : nullptr, sent_bytes_);
    }
    return *channel;
  }

  void Accept() {
    acceptor_.async_accept([this](std::error_code error, tcp_socket socket) {
      if (!acceptor_.is_open()) return;
      if (!error) OnAccept(std::move(socket));
      Accept();
    });
  }

  void OnAccept(tcp_socket socket) {
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (!tls_) {
      StartSession(std::make_unique<asio_byte_stream<tcp_socket, no_context>>(
          std::move(socket), nullptr));
      return;
    }
    auto context = tls_->Current();
    if (!context) return;
    using stream_type = asio_byte_stream<tls_stream, asio::ssl::context>;
    auto stream = std::make_shared<std::unique_ptr<stream_type>>(
        std::make_unique<stream_type>(
            tls_stream(std::move(socket), *context.assume_value()),
            context.assume_value()));
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(kHandshakeTimeout);
    timer->async_wait([stream](std::error_code error) {
      if (!error && *stream) (*stream)->Close();
    });
    (*stream)->stream().async_handshake(
        asio::ssl::stream_base::server,
        [this, stream, timer](std::error_code error) {
          timer->cancel();
          if (!error) StartSession(std::move(*stream));
        });
  }

  void StartSession(std::unique_ptr<byte_stream> stream) {
    auto holder = std::make_shared<std::weak_ptr<http2_session>>();
    auto session = std::make_shared<http2_session>(
        http2_session::role::kServer, std::move(stream),
        [this](vm_message message, const respond_hook& respond) {
          Handle(std::move(message), respond);
        },
        [this, holder] { sessions_.erase(holder->lock()); }, sent_bytes_);
    *holder = session;
    sessions_.insert(session);
    session->Start();
  }

  void Handle(vm_message message, const respond_hook& respond) {
    handle_(std::move(message), [this, respond](std::string body) {
      asio::post(io_, [respond, body = std::move(body)]() mutable {
        respond(std::move(body));
      });
    });
  }

  const peer_transport_settings settings_;
  const message_handler handle_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  asio::ip::tcp::acceptor acceptor_;
  std::optional<tls_context_source> tls_;
  // Used on the I/O thread only, except for the counter.
  std::map<std::string, std::shared_ptr<peer_channel>> channels_;
  std::set<std::shared_ptr<http2_session>> sessions_;
  std::atomic<std::uint64_t> sent_bytes_{0};
  std::thread thread_;
};

peer_transport::peer_transport(const peer_transport_settings& settings,
                               message_handler handle)
    : implementation_(
          std::make_unique<implementation>(settings, std::move(handle))) {}

peer_transport::~peer_transport() = default;

result<void, listen_error> peer_transport::Listen() {
  return implementation_->Listen();
}

void peer_transport::Send(const socket_address& remote, vm_message message,
                          std::chrono::milliseconds timeout,
                          response_handler done) {
  implementation_->Send(remote, std::move(message), timeout, std::move(done));
}

void peer_transport::RunAfter(std::chrono::milliseconds delay,
                              std::function<void()> task) {
  implementation_->RunAfter(delay, std::move(task));
}

void peer_transport::Stop() { implementation_->Stop(); }

std::uint64_t peer_transport::sent_bytes() const {
  return implementation_->sent_bytes();
}

}  // namespace marjoramsill
