#include "connection/caller_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/socket_base.hpp>
#include <charconv>
#include <utility>

#include "connection/large_buffer.h"
#include "connection/status_text.h"
#include "request/http_status.h"

namespace marjoramsill {
namespace {

/// A caller with more unsent response data than this is disconnected.
constexpr std::size_t kMaxUnsentBytes = std::size_t{4} * 1024 * 1024;
/// Maximum size of pipelined input that is buffered while a request is handled.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;
/// Time for which the connection is still read after the last response. Closing
/// it with unread input would reset it, and the caller might lose the response.
constexpr std::chrono::milliseconds kLingerTime{1'000};
/// Time added to the idle limit, for requests that callers sent before the
/// limit.
constexpr std::chrono::milliseconds kIdleMargin{2'000};
/// A caller that has connected sends its request within this time.
constexpr std::chrono::milliseconds kFirstRequestTime{1'000};

int StatusFor(parse_state state) {
  switch (state) {
    case parse_state::kHeadTooLarge:
      return kStatusFieldsTooLarge;
    case parse_state::kBodyTooLarge:
      return kStatusContentTooLarge;
    default:
      return kStatusBadRequest;
  }
}

void AppendNumber(std::string& text, std::uint64_t number, int base) {
  char digits[24];
  const auto end =
      std::to_chars(digits, digits + sizeof(digits), number, base).ptr;
  text.append(digits, end);
}

bool HasNoBody(int status) {
  return status == kStatusNoContent || status == kStatusNotModified;
}

}  // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket,
                                     const caller_connection_hooks& hooks,
                                     const caller_limits& limits,
                                     steady_time now)
    : socket_(std::move(socket)),
      hooks_(hooks),
      parser_(limits.max_header_bytes, limits.max_body_bytes),
      memory_(hooks.memory, now, [this] { CloseForMemory(); }),
      accepted_at_(now),
      now_(now),
      idle_since_(now) {}

void caller_connection::Start() {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  ReadNext();
}

void caller_connection::ReadNext() {
  if (reading_ || !is_open_ || input_.size() > kMaxPipelinedBytes) return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](std::error_code error, std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void caller_connection::OnRead(std::error_code error, std::size_t bytes) {
  if (!is_open_) return;
  if (error) {
    HandleDisconnect(error == asio::error::eof ? disconnect_cause::kClosed
                                               : disconnect_cause::kReadFailed);
    return;
  }
  has_received_ = true;
  received_at_ = now_;
  if (!is_lingering_) {
    input_.append(buffer_.data(), bytes);
    if (!has_request_) Parse();
    memory_.RecordTransfer(bytes, now_);
    CountIncoming();
    memory_.Relieve(now_);
  }
  ReadNext();
}

void caller_connection::Parse() {
  while (is_open_ && !has_request_ && !is_lingering_ && !input_.empty()) {
    if (parser_.state() == parse_state::kIdle) {
      idle_since_ = now_;
      memory_.RestartProgress(now_);
    }
    const std::size_t used = parser_.Read(input_);
    input_.erase(0, used);
    ReleaseIfLarge(input_);
    switch (parser_.state()) {
      case parse_state::kComplete:
        HandleRequest();
        break;
      case parse_state::kMalformed:
      case parse_state::kHeadTooLarge:
      case parse_state::kBodyTooLarge:
        RefuseInvalidRequest();
        return;
      default:
        if (parser_.TakeExpectContinue()) {
          output_ += "HTTP/1.1 100 Continue\r\n\r\n";
          Send();
        }
        if (used == 0) return;
    }
  }
}

void caller_connection::RefuseInvalidRequest() {
  const parse_state state = parser_.state();
  const int status = StatusFor(state);
  hooks_.on_invalid_request(state, status);
  Refuse(status, {});
}

void caller_connection::Refuse(int status, const http_field_list& fields) {
  has_request_ = true;
  keep_alive_ = false;
  ReleaseBuffer(input_);
  parser_.Discard();
  memory_.Clear();
  Respond(status, fields, "");
}

void caller_connection::HandleRequest() {
  const std::size_t held_bytes = parser_.held_bytes();
  caller_message message = parser_.Take();
  has_request_ = true;
  keep_alive_ = message.keep_alive;
  accepts_chunks_ = message.accepts_chunks;
  if (!CountRequest(held_bytes)) return;
  hooks_.on_request(shared_from_this(), std::move(message));
}

void caller_connection::HandleDisconnect(disconnect_cause cause) {
  const disconnect_hook hook = std::exchange(on_disconnect_, nullptr);
  if (has_request_ && hook) hook(cause);
  Close();
}

void caller_connection::AppendHead(int status, const http_field_list& fields) {
  output_ += "HTTP/1.1 ";
  AppendNumber(output_, static_cast<std::uint64_t>(status), 10);
  output_ += ' ';
  output_ += StatusText(status);
  output_ += "\r\n";
  for (const http_field& field : fields) {
    output_ += field.name;
    output_ += ": ";
    output_ += field.value;
    output_ += "\r\n";
  }
  // A request that has arrived already gets its response too.
  announced_close_ = !keep_alive_ || (close_after_response_ && !HasInput());
  if (announced_close_) output_ += "Connection: close\r\n";
}

bool caller_connection::HasInput() {
  if (!input_.empty()) return true;
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, sizeof(byte),
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool caller_connection::IsNew(steady_time now) const {
  return !has_received_ && now - accepted_at_ < kFirstRequestTime;
}

void caller_connection::Respond(int status, const http_field_list& fields,
                                std::string_view body) {
  if (!is_open_ || !has_request_) return;
  Begin(status, fields, body.size());
  Write(body);
  End();
}

void caller_connection::Begin(int status, const http_field_list& fields,
                              std::optional<std::uint64_t> length) {
  if (!is_open_) return;
  // Without chunks the body ends when the connection is closed.
  ends_with_connection_ = !length && !accepts_chunks_;
  if (ends_with_connection_) {
    keep_alive_ = false;
    SetResetOnClose(true);
  }
  memory_.RestartProgress(now_);
  AppendHead(status, fields);
  is_chunked_ = !length && accepts_chunks_;
  if (is_chunked_) {
    output_ += "Transfer-Encoding: chunked\r\n";
  } else if (length && !HasNoBody(status)) {
    output_ += "Content-Length: ";
    AppendNumber(output_, *length, 10);
    output_ += "\r\n";
  }
  output_ += "\r\n";
}

void caller_connection::Write(std::string_view data) {
  if (!is_open_ || data.empty()) return;
  if (is_chunked_) {
    AppendNumber(output_, data.size(), 16);
    output_ += "\r\n";
  }
  output_ += data;
  if (is_chunked_) output_ += "\r\n";
}

void caller_connection::Flush() {
  if (is_open_) Send();
}

void caller_connection::End() {
  if (!is_open_) return;
  if (is_chunked_) output_ += "0\r\n\r\n";
  FinishResponse();
}

void caller_connection::SetResetOnClose(bool resets) {
  // An error is ignored: the socket then closes in the ordinary way.
  std::error_code ignored;
  socket_.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void caller_connection::FinishResponse() {
  on_disconnect_ = nullptr;
  has_request_ = false;
  memory_.Set(memory_kind::kHeldRequests, 0);
  memory_.Set(memory_kind::kEndpointResponses, 0);
  is_chunked_ = false;
  idle_since_ = now_;
  is_received_ = false;
  unreceived_.reset();
  if (announced_close_) is_lingering_ = true;
  Send();
  if (!is_open_ || is_lingering_ || input_.empty()) return;
  // The next pipelined request is handled from the event loop instead of
  // recursively within the response to the previous one.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->has_request_) return;
    self->Parse();
    self->ReadNext();
  });
}

void caller_connection::Abort() {
  on_disconnect_ = nullptr;
  Close();
}

void caller_connection::Send() {
  if (waiting_writable_) {
    if (unsent_bytes() > kMaxUnsentBytes) {
      ReportUnreceived();
      HandleDisconnect(disconnect_cause::kTooMuchUnsent);
      return;
    }
    memory_.Set(memory_kind::kUnsentResponses, output_.size());
    memory_.Relieve(now_);
    return;
  }
  while (written_ < output_.size()) {
    std::error_code error;
    const std::size_t sent = socket_.send(
        asio::buffer(output_.data() + written_, output_.size() - written_), 0,
        error);
    written_ += sent;
    if (sent > 0) idle_since_ = now_;
    memory_.RecordTransfer(sent, now_);
    if (error == asio::error::would_block) {
      ReleaseSent();
      WaitWritable();
      memory_.Set(memory_kind::kUnsentResponses, output_.size());
      memory_.Relieve(now_);
      return;
    }
    if (error) {
      HandleDisconnect(disconnect_cause::kWriteFailed);
      return;
    }
  }
  output_.clear();
  ReleaseIfLarge(output_);
  written_ = 0;
  memory_.Set(memory_kind::kUnsentResponses, 0);
  if (is_lingering_) StartLinger();
}

void caller_connection::WaitWritable() {
  waiting_writable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](std::error_code error) {
                       self->waiting_writable_ = false;
                       if (!error && self->is_open_) self->Send();
                     });
}

void caller_connection::StartLinger() {
  // Everything was handed to the network.
  if (ends_with_connection_) SetResetOnClose(false);
  idle_since_ = now_;
  std::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void caller_connection::CheckTimeouts(const caller_limits& limits,
                                      steady_time now) {
  now_ = now;
  if (!is_open_) return;
  if (has_request_) return;
  // A caller that reads slowly still gets its whole response.
  if (!is_received_) CheckDelivery();
  const auto idle = now - idle_since_;
  const auto idle_limit = limits.idle_timeout + kIdleMargin;
  if (is_lingering_) {
    if (idle > (is_received_ ? kLingerTime : idle_limit)) CloseAndReport();
    return;
  }
  parser_.SetLimits(limits.max_header_bytes, limits.max_body_bytes);
  if (parser_.state() == parse_state::kIdle) {
    if (idle > idle_limit) CloseAndReport();
    return;
  }
  const bool is_late =
      parser_.state() == parse_state::kInHead
          ? idle > limits.header_timeout
          : now - std::max(idle_since_, received_at_) > idle_limit;
  if (is_late) {
    hooks_.on_invalid_request(parser_.state(), kStatusRequestTimeout);
    Refuse(kStatusRequestTimeout, {});
  }
}

void caller_connection::CloseIfIdle(steady_time now) {
  if (is_open_ && !IsBusy(now)) CloseAndReport();
}

std::size_t caller_connection::unacknowledged_bytes() {
  int bytes = 0;
  // Without support of the system nothing counts as unacknowledged.
  if (::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0) return 0;
  return static_cast<std::size_t>(bytes);
}

void caller_connection::CheckDelivery() {
  const std::size_t left = unsent_bytes() + unacknowledged_bytes();
  if (unreceived_ && left < *unreceived_) idle_since_ = now_;
  unreceived_ = left;
  is_received_ = left == 0;
}

bool caller_connection::IsBusy(steady_time now) {
  if (!is_open_) return false;
  return has_request_ || is_lingering_ || unsent_bytes() > 0 || IsNew(now) ||
         parser_.state() != parse_state::kIdle || HasInput() ||
         unacknowledged_bytes() > 0;
}

std::string caller_connection::RemoteIp() const {
  std::error_code error;
  const auto remote = socket_.remote_endpoint(error);
  return error ? std::string() : remote.address().to_string();
}

void caller_connection::CloseAtEnd() {
  if (!is_open_) return;
  waiting_writable_ = false;
  Send();
  if (unsent_bytes() > 0) {
    // The kernel takes less if this exceeds its limit.
    std::error_code ignored;
    const asio::socket_base::send_buffer_size size(
        static_cast<int>(unsent_bytes() + unacknowledged_bytes()));
    socket_.set_option(size, ignored);
    waiting_writable_ = false;
    Send();
  }
  CloseAndReport();
}

void caller_connection::CloseAndReport() {
  if (!is_open_) return;
  ReportUnreceived();
  Close();
}

void caller_connection::ReportUnreceived() {
  const std::size_t unacknowledged = unacknowledged_bytes();
  if (unsent_bytes() == 0 && unacknowledged == 0) return;
  hooks_.on_unreceived(request_id_, unsent_bytes(), unacknowledged);
}

void caller_connection::Close() {
  if (!is_open_) return;
  is_open_ = false;
  ReleaseBuffer(input_);
  parser_.Discard();
  memory_.Clear();
  std::error_code ignored;
  socket_.close(ignored);
  hooks_.on_end(*this);
}

}  // namespace marjoramsill
