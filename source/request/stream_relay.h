#ifndef MARJORAMSILL_REQUEST_STREAM_RELAY_H_
#define MARJORAMSILL_REQUEST_STREAM_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "request/sse_parser.h"
#include "types/result.h"

namespace marjoramsill {

enum class relay_error : std::uint8_t {
  kBadEventStream,
  /// The data of an event is not a chat completion chunk.
  kBadChunk,
  /// The endpoint reported an error inside the stream.
  kEndpointError,
  /// Bytes after [DONE].
  kDataAfterDone,
};

/// Joins the streams of several attempts into one continuous stream of chat
/// completion chunks. Only complete events are forwarded.
class stream_relay {
 public:
  /// Maximum text kept for a replay. A longer response can only be resumed.
  static constexpr std::size_t kMaxReplayBytes = std::size_t{1024} * 1024;

  /// Call before a stream that starts at its first event: a first attempt, a
  /// retry, or a replay, which continues the text delivered so far.
  void BeginStream();
  /// Call before the same engine stream is resumed on a new connection,
  /// starting after events() events.
  void ResumeStream();

  /// Appends the bytes for the caller to `output`. On an error these are the
  /// events before the one with the error.
  result<void, relay_error> Feed(std::string_view bytes, std::string& output);

  /// Number of complete events received from the current engine stream.
  std::uint64_t events() const { return events_; }
  /// Text delivered to the caller so far.
  const std::string& text() const { return text_; }
  /// Some event has been delivered.
  bool delivered() const { return delivered_; }
  /// [DONE] has been delivered.
  bool done() const { return done_; }
  /// False if more than text of a single choice has been delivered (tool calls,
  /// several choices, a finish reason), or more text than kMaxReplayBytes. A
  /// replay could not continue such a response.
  bool can_replay() const { return can_replay_; }

 private:
  result<void, relay_error> HandleEvent(const std::string& data,
                                        std::string& output);

  sse_parser parser_;
  std::uint64_t events_ = 0;
  /// The current stream is a replay: the role is removed from its events, and
  /// their `id` and `created` are replaced.
  bool is_continuation_ = false;
  bool delivered_ = false;
  bool done_ = false;
  bool can_replay_ = true;
  std::string text_;
  /// JSON object with `id` and `created` of the first event. They are inserted
  /// into the events of replays.
  std::string identity_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_STREAM_RELAY_H_
