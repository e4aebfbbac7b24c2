#include "connection/endpoint_connection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

#include "connection/large_buffer.h"

namespace marjoramsill {
namespace {

/// Used if the endpoint does not declare how long it keeps an idle connection.
constexpr std::chrono::milliseconds kDefaultIdleLimit{4'000};
/// A longer time that the endpoint declares counts as this one.
constexpr int kMaxIdleSeconds = 3'600;
/// The connection is closed if sent data is not acknowledged for this long, to
/// detect a network partition. A sound endpoint may be silent for a second or
/// so. This also decides when keep-alive probes give up, whatever their number.
constexpr unsigned kUserTimeoutMs = 3'000;
/// Keep-alive probes detect a network partition while a response is awaited.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;

void SetSocketOption(int socket, int level, int name, int value) {
  // An error is ignored: without the option a partition is only detected later.
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

/// Returns the seconds of `timeout=` in a Keep-Alive field.
std::optional<int> KeepAliveSeconds(const endpoint_response_head& head) {
  const http_field* field = FindField(head.fields, "Keep-Alive");
  if (field == nullptr) return std::nullopt;
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = field->value.find(kName);
  if (at == std::string::npos) return std::nullopt;
  const char* begin = field->value.data() + at + kName.size();
  int seconds = 0;
  const auto [end, error] = std::from_chars(
      begin, field->value.data() + field->value.size(), seconds);
  if (error != std::errc() || end == begin) return std::nullopt;
  return seconds;
}

}  // namespace

endpoint_connection::endpoint_connection(asio::io_context& io,
                                         socket_address remote,
                                         idle_end_hook on_idle_end)
    : socket_(io),
      remote_(std::move(remote)),
      on_idle_end_(std::move(on_idle_end)),
      parser_([this](std::string_view body) {
        if (in_call_ && !skipping_) hooks_.on_body(body);
      }),
      idle_limit_(kDefaultIdleLimit) {}

endpoint_connection::~endpoint_connection() = default;

void endpoint_connection::Connect(std::function<void(bool)> done) {
  std::error_code error;
  const asio::ip::address address = asio::ip::make_address(remote_.ip, error);
  if (!error && !source_.empty()) error = BindSource();
  if (error) {
    done(false);
    return;
  }
  const asio::ip::tcp::endpoint target(address, remote_.port);
  socket_.async_connect(target,
                        [self = shared_from_this(),
                         done = std::move(done)](std::error_code failed) {
                          if (!failed) {
                            self->is_open_ = true;
                            self->SetOptions();
                            // Without a read the end of a connection that
                            // carries no call would not be noticed.
                            self->ReadNext();
                          }
                          done(!failed);
                        });
}

std::error_code endpoint_connection::BindSource() {
  std::error_code error;
  const auto source = asio::ip::make_address(source_, error);
  if (error) return error;
  const asio::ip::tcp::endpoint local(source, 0);
  socket_.open(local.protocol(), error);
  if (!error) socket_.bind(local, error);
  return error;
}

void endpoint_connection::SetOptions() {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const int handle = socket_.native_handle();
  SetSocketOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPINTVL,
                  kKeepAliveIntervalSeconds);
  SetSocketOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

void endpoint_connection::Send(std::string bytes, bool head_request,
                               endpoint_call_hooks hooks) {
  hooks_ = std::move(hooks);
  ++calls_;
  in_call_ = true;
  has_sent_ = false;
  is_request_received_ = false;
  head_request_ = head_request;
  output_ = std::move(bytes);
  written_ = 0;
  BeginResponse();
  Write();
  if (in_call_) ReadNext();
}

void endpoint_connection::Write() {
  while (written_ < output_.size()) {
    std::error_code error;
    const std::size_t sent = socket_.send(
        asio::buffer(output_.data() + written_, output_.size() - written_), 0,
        error);
    if (error == asio::error::would_block) {
      WaitWritable();
      return;
    }
    if (error) {
      Fail(call_failure::kBroken);
      return;
    }
    has_sent_ = true;
    written_ += sent;
  }
  // A kept connection does not keep the memory of a large request.
  output_.clear();
  ReleaseIfLarge(output_);
  written_ = 0;
}

void endpoint_connection::WaitWritable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](std::error_code error) {
                       if (!error && self->is_open_) self->Write();
                     });
}

void endpoint_connection::ReadNext() {
  if (reading_ || !is_open_) return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](std::error_code error, std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void endpoint_connection::OnRead(std::error_code error, std::size_t bytes) {
  if (!is_open_) return;
  if (error) {
    OnEnd(error);
    return;
  }
  bytes_read_ += bytes;
  if (!in_call_) {
    // Bytes that belong to no call make the connection unusable.
    Shutdown();
    on_idle_end_(*this);
    return;
  }
  OnBytes(std::string_view(buffer_.data(), bytes));
  if (is_open_) ReadNext();
}

void endpoint_connection::OnBytes(std::string_view bytes) {
  while (!bytes.empty() && in_call_) {
    bytes.remove_prefix(parser_.Read(bytes));
    if (!in_call_) return;
    if (parser_.state() == parse_state::kMalformed) {
      Fail(call_failure::kMalformed);
      return;
    }
    const bool has_head = parser_.state() == parse_state::kInBody ||
                          parser_.state() == parse_state::kComplete;
    if (has_head && !head_seen_) OnHeadRead();
    if (!in_call_) return;
    if (parser_.state() != parse_state::kComplete) continue;
    if (skipping_) {
      BeginResponse();
      continue;
    }
    if (!bytes.empty()) close_after_call_ = true;
    FinishCall();
    return;
  }
  if (in_call_ && head_seen_ && !skipping_) hooks_.on_read_end();
}

void endpoint_connection::BeginResponse() {
  head_seen_ = false;
  skipping_ = false;
  parser_.Begin(head_request_);
}

void endpoint_connection::OnHeadRead() {
  head_seen_ = true;
  if (!hooks_.accepts(parser_.head())) {
    // A second response to an earlier request; that of this call follows. Later
    // responses may be out of order as well, so the connection is closed after
    // this call.
    close_after_call_ = true;
    skipping_ = true;
    return;
  }
  UpdateIdleLimit(parser_.head());
  hooks_.on_head(parser_.head());
}

void endpoint_connection::UpdateIdleLimit(const endpoint_response_head& head) {
  if (const auto seconds = KeepAliveSeconds(head)) {
    idle_limit_ =
        std::chrono::seconds(std::clamp(*seconds, 0, kMaxIdleSeconds));
  }
}

void endpoint_connection::OnEnd(std::error_code error) {
  const bool clean = error == asio::error::eof;
  if (!in_call_) {
    Shutdown();
    on_idle_end_(*this);
    return;
  }
  is_request_received_ = HasDeliveredRequest();
  if (clean && head_seen_ && !skipping_ && parser_.ReadEnd()) {
    close_after_call_ = true;
    FinishCall();
    return;
  }
  Fail(call_failure::kBroken);
}

bool endpoint_connection::HasDeliveredRequest() {
  if (!output_.empty()) return false;
  int unacknowledged = 0;
  if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0 &&
      unacknowledged > 0) {
    return false;
  }
  // A reset after the end of the answer does not show in a read.
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

void endpoint_connection::Fail(call_failure failure) {
  if (!in_call_) return;
  in_call_ = false;
  const endpoint_call_hooks hooks = std::move(hooks_);
  hooks_ = {};
  Shutdown();
  hooks.on_failure(failure);
}

void endpoint_connection::FinishCall() {
  in_call_ = false;
  // A connection on which a request was not fully sent cannot be reused.
  const bool reusable =
      parser_.allows_reuse() && !close_after_call_ && output_.empty();
  const endpoint_call_hooks hooks = std::move(hooks_);
  hooks_ = {};
  if (!reusable) Shutdown();
  hooks.on_end();
}

bool endpoint_connection::IsReusable() const { return is_open_ && !in_call_; }

bool endpoint_connection::CheckIdle() {
  if (!IsReusable()) return false;
  char byte = 0;
  const ssize_t got = ::recv(socket_.native_handle(), &byte, sizeof(byte),
                             MSG_PEEK | MSG_DONTWAIT);
  const bool is_idle = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (!is_idle) Shutdown();
  return is_idle;
}

void endpoint_connection::Shutdown() {
  is_open_ = false;
  std::error_code ignored;
  socket_.close(ignored);
}

void endpoint_connection::Close() {
  in_call_ = false;
  hooks_ = {};
  Shutdown();
}

}  // namespace marjoramsill
