#include "connection/http2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <string_view>
#include <utility>
#include <vector>

#include "connection/byte_stream.h"

namespace marjoramsill {
namespace {

// The largest message is one chunk of a policy document or of a snapshot.
constexpr std::size_t kMaxMessageBytes = 8UL * 1024 * 1024;
// Of all messages of a connection that are not complete.
constexpr std::size_t kMaxReceivedBytes = 2 * kMaxMessageBytes;
constexpr std::size_t kMaxPathBytes = 256;
// Larger than all but snapshot messages, so that window updates are rare.
constexpr std::int32_t kWindowBytes = 4 * 1024 * 1024;
constexpr std::uint32_t kMaxStreams = 1'000;
constexpr std::string_view kPathPrefix = "/peer/";
constexpr std::string_view kFromHeader = "x-vm";

nghttp2_nv Field(std::string_view name, std::string_view value) {
  // nghttp2 copies names and values unless a flag disables it.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

/// Functions that nghttp2 calls; `user` is the http2_session.
struct http2_callbacks {
  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length,
                      const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t /*flags*/, void* user) {
    auto& self = *static_cast<http2_session*>(user);
    const std::string_view field(reinterpret_cast<const char*>(name),
                                 name_length);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_length);
    if (field == ":path") {
      if (text.size() > kMaxPathBytes) return Reset();
      self.streams_[frame->hd.stream_id].path = std::string(text);
    } else if (field == kFromHeader) {
      if (text.size() > kMaxPathBytes) return Reset();
      self.streams_[frame->hd.stream_id].from = std::string(text);
    } else if (field == ":status") {
      self.streams_[frame->hd.stream_id].succeeded = text == "200";
    }
    return 0;
  }

  static int OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                    std::int32_t stream_id, const std::uint8_t* data,
                    std::size_t length, void* user) {
    auto& self = *static_cast<http2_session*>(user);
    const std::string_view bytes(reinterpret_cast<const char*>(data), length);
    return self.Receive(stream_id, bytes) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                     void* user) {
    const bool carries_message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (carries_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      static_cast<http2_session*>(user)->OnMessageComplete(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/, std::int32_t stream_id,
                           std::uint32_t /*code*/, void* user) {
    static_cast<http2_session*>(user)->OnStreamClosed(stream_id);
    return 0;
  }

  static ssize_t ReadOutgoing(nghttp2_session* /*session*/,
                              std::int32_t stream_id, std::uint8_t* buffer,
                              std::size_t length, std::uint32_t* flags,
                              nghttp2_data_source* /*source*/, void* user) {
    auto& self = *static_cast<http2_session*>(user);
    const auto found = self.streams_.find(stream_id);
    if (found == self.streams_.end()) return Reset();
    auto& stream = found->second;
    const std::size_t left = stream.outgoing.size() - stream.outgoing_offset;
    const std::size_t count = std::min(length, left);
    std::memcpy(buffer, stream.outgoing.data() + stream.outgoing_offset, count);
    stream.outgoing_offset += count;
    if (count == left) *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
  }

 private:
  static int Reset() { return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; }
};

http2_session::http2_session(role side, std::unique_ptr<byte_stream> stream,
                             message_handler handle,
                             std::function<void()> on_closed,
                             std::atomic<std::uint64_t>& sent_bytes)
    : role_(side),
      stream_(std::move(stream)),
      handle_(std::move(handle)),
      on_closed_(std::move(on_closed)),
      sent_bytes_(sent_bytes) {
  CreateSession();
}

http2_session::~http2_session() { nghttp2_session_del(session_); }

void http2_session::CreateSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   http2_callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, http2_callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, http2_callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, http2_callbacks::OnStreamClose);
  if (role_ == role::kClient) {
    nghttp2_session_client_new(&session_, callbacks, this);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

void http2_session::Start() {
  const std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
  Read();
  Write();
}

std::int32_t http2_session::Send(const vm_message& message,
                                 response_handler done) {
  if (closed_) {
    done(failure(peer_error::kUnreachable));
    return NGHTTP2_ERR_INVALID_STATE;
  }
  const std::string path = std::string(kPathPrefix) + message.kind;
  const std::array<nghttp2_nv, 5> fields = {
      Field(":method", "POST"), Field(":scheme", "http"),
      Field(":authority", "peer"), Field(":path", path),
      Field(kFromHeader, message.from)};
  nghttp2_data_provider provider{};
  provider.read_callback = http2_callbacks::ReadOutgoing;
  const std::int32_t stream_id = nghttp2_submit_request(
      session_, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (stream_id < 0) {
    done(failure(peer_error::kUnreachable));
    // Stream ids are used up; a new connection starts again.
    Close();
    return stream_id;
  }
  stream_state& stream = streams_[stream_id];
  stream.outgoing = message.body;
  stream.done = std::move(done);
  Write();
  return stream_id;
}

void http2_session::Cancel(std::int32_t stream_id) {
  if (closed_ || !streams_.contains(stream_id)) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id,
                            NGHTTP2_CANCEL);
  Write();
}

void http2_session::Respond(std::int32_t stream_id, std::string body) {
  const auto found = streams_.find(stream_id);
  if (closed_ || found == streams_.end()) return;
  found->second.outgoing = std::move(body);
  const std::array<nghttp2_nv, 1> fields = {Field(":status", "200")};
  nghttp2_data_provider provider{};
  provider.read_callback = http2_callbacks::ReadOutgoing;
  nghttp2_submit_response(session_, stream_id, fields.data(), fields.size(),
                          &provider);
  Write();
}

bool http2_session::Receive(std::int32_t stream_id, std::string_view bytes) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end() || found->second.is_refused) return true;
  stream_state& stream = found->second;
  if (stream.received.size() + bytes.size() > kMaxMessageBytes) return false;
  if (received_bytes_ + bytes.size() > kMaxReceivedBytes) {
    // The other messages go on.
    TakeReceived(stream);
    stream.is_refused = true;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return true;
  }
  received_bytes_ += bytes.size();
  stream.received.append(bytes);
  return true;
}

std::string http2_session::TakeReceived(stream_state& stream) {
  received_bytes_ -= stream.received.size();
  return std::exchange(stream.received, {});
}

void http2_session::OnMessageComplete(std::int32_t stream_id) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end() || found->second.is_refused) return;
  stream_state& stream = found->second;
  if (role_ == role::kClient) {
    response_handler done = std::move(stream.done);
    stream.done = nullptr;
    if (!done) return;
    if (stream.succeeded) {
      done(TakeReceived(stream));
    } else {
      done(failure(peer_error::kRefused));
    }
    return;
  }
  if (!stream.path.starts_with(kPathPrefix)) {
    const std::array<nghttp2_nv, 1> fields = {Field(":status", "404")};
    nghttp2_submit_response(session_, stream_id, fields.data(), fields.size(),
                            nullptr);
    return;
  }
  vm_message message;
  message.kind = stream.path.substr(kPathPrefix.size());
  message.body = TakeReceived(stream);
  message.from = std::move(stream.from);
  handle_(std::move(message),
          [weak = weak_from_this(), stream_id](std::string body) {
            if (const auto self = weak.lock()) {
              self->Respond(stream_id, std::move(body));
            }
          });
}

void http2_session::OnStreamClosed(std::int32_t stream_id) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end()) return;
  response_handler done = std::move(found->second.done);
  TakeReceived(found->second);
  streams_.erase(found);
  if (done) done(failure(peer_error::kConnectionLost));
}

void http2_session::Read() {
  stream_->AsyncRead(
      asio::buffer(input_),
      [self = shared_from_this()](std::error_code error, std::size_t count) {
        if (error || self->closed_) {
          self->Close();
          return;
        }

        self->last_received_ = std::chrono::steady_clock::now();
        self->in_nghttp2_ = true;
        const ssize_t used = nghttp2_session_mem_recv(
            self->session_, self->input_.data(), count);
        self->in_nghttp2_ = false;
        if (used < 0) {
          self->Close();
          return;
        }
        self->Write();
        if (!self->closed_) self->Read();
      });
}

void http2_session::Write() {
  // nghttp2 must not be called for output from its own callbacks; the caller
  // of nghttp2 writes afterwards.
  if (writing_ || closed_ || in_nghttp2_) return;
  output_.clear();
  constexpr std::size_t kMaxWriteBytes = 64UL * 1024;
  while (output_.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    in_nghttp2_ = true;
    const ssize_t count = nghttp2_session_mem_send(session_, &data);
    in_nghttp2_ = false;
    if (count < 0) {
      Close();
      return;
    }
    if (count == 0) break;
    output_.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(count));
  }
  if (output_.empty()) {
    const bool ended = nghttp2_session_want_read(session_) == 0 &&
                       nghttp2_session_want_write(session_) == 0;
    if (ended) Close();
    return;
  }
  writing_ = true;
  stream_->AsyncWrite(
      asio::buffer(output_),
      [self = shared_from_this()](std::error_code error, std::size_t count) {
        self->writing_ = false;
        self->sent_bytes_ += count;
        if (error) {
          self->Close();
          return;
        }
        self->Write();
      });
}

void http2_session::Close() {
  if (closed_) return;
  closed_ = true;
  stream_->Close();
  auto streams = std::move(streams_);
  streams_.clear();
  received_bytes_ = 0;
  for (auto& [id, stream] : streams) {
    if (stream.done) stream.done(failure(peer_error::kConnectionLost));
  }
  if (on_closed_) on_closed_();
}

}  // namespace marjoramsill
