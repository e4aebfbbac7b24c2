#ifndef MARJORAMSILL_CONNECTION_HTTP2_SESSION_H_
#define MARJORAMSILL_CONNECTION_HTTP2_SESSION_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "connection/peer_error.h"
#include "connection/vm_message.h"
#include "types/result.h"

struct nghttp2_session;

namespace marjoramsill {

class byte_stream;

/// One HTTP/2 connection between two VMs (nghttp2). Each message uses one
/// stream. Used on the peer I/O thread only; must be owned by std::shared_ptr,
/// because pending reads and writes keep it alive.
class http2_session : public std::enable_shared_from_this<http2_session> {
 public:
  enum class role { kClient, kServer };
  using respond_hook = std::function<void(std::string body)>;
  using message_handler = std::function<void(vm_message, respond_hook)>;
  using response_handler = std::function<void(result<std::string, peer_error>)>;

  /// `handle` is used by a server session only. `on_closed` is called once. The
  /// size of sent HTTP/2 frames, before TLS, is added to `sent_bytes`, which
  /// must outlive the session.
  http2_session(role side, std::unique_ptr<byte_stream> stream,
                message_handler handle, std::function<void()> on_closed,
                std::atomic<std::uint64_t>& sent_bytes);
  ~http2_session();
  http2_session(const http2_session&) = delete;
  http2_session& operator=(const http2_session&) = delete;

  void Start();
  /// Client: sends a message. `done` is called exactly once. Returns the number
  /// of the stream; negative if none could be opened.
  std::int32_t Send(const vm_message& message, response_handler done);
  /// Client: the response is no longer awaited.
  void Cancel(std::int32_t stream_id);
  /// Server: sends the response of a stream; ignored if the stream has ended.
  void Respond(std::int32_t stream_id, std::string body);
  void Close();

  bool is_closed() const { return closed_; }
  /// When the other VM last sent anything.
  std::chrono::steady_clock::time_point last_received() const {
    return last_received_;
  }

 private:
  friend struct http2_callbacks;

  /// State of one stream, which carries one message and its response.
  struct stream_state {
    std::string path;
    std::string from;
    std::string received;
    std::string outgoing;
    std::size_t outgoing_offset = 0;
    bool succeeded = false;
    /// The stream was reset; further bytes are discarded.
    bool is_refused = false;
    response_handler done;
  };

  void CreateSession();
  void Read();
  void Write();
  void OnMessageComplete(std::int32_t stream_id);
  void OnStreamClosed(std::int32_t stream_id);
  /// Adds bytes to a message. False if it becomes too large.
  bool Receive(std::int32_t stream_id, std::string_view bytes);
  std::string TakeReceived(stream_state& stream);

  const role role_;
  std::unique_ptr<byte_stream> stream_;
  message_handler handle_;
  std::function<void()> on_closed_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, stream_state> streams_;
  /// Bytes of messages that are not complete, over all streams.
  std::size_t received_bytes_ = 0;
  std::array<std::uint8_t, 16UL * 1024> input_{};
  std::string output_;
  std::chrono::steady_clock::time_point last_received_{};
  bool writing_ = false;
  bool in_nghttp2_ = false;
  bool closed_ = false;
  std::atomic<std::uint64_t>& sent_bytes_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_HTTP2_SESSION_H_
