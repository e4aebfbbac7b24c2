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

enum class relay_fault : std::uint8_t {
  kBadEventStream,
  /// The data of an event is not a chat completion chunk.
  kBadChunk,
  /// The endpoint reported an error inside the stream.
  kEndpointError,
  /// Bytes after [DONE].
  kDataAfterDone,
};

std::string_view RelayFaultName(relay_fault fault);

/// Makes one continuous stream of chat completion chunks out of the streams of
/// several attempts. Only complete events are passed on.
class stream_relay {
 public:
  /// Text kept for a replay; a longer response can be resumed only.
  static constexpr std::size_t kMaxReplayBytes = std::size_t{1024} * 1024;

  /// A stream that starts at its first event: a first attempt, a retry, or a
  /// replay that continues the text delivered so far.
  void BeginStream();
  /// The same engine stream on a new connection, from events() on.
  void ResumeStream();

  /// Returns the bytes for the caller. On a fault the events before the faulty
  /// one are in `output`.
  result<void, relay_fault> Feed(std::string_view bytes, std::string& output);

  /// Complete events received of the current engine stream.
  std::uint64_t events() const { return events_; }
  /// Text that the caller has.
  const std::string& text() const { return text_; }
  bool delivered() const { return delivered_; }
  bool done() const { return done_; }
  /// False if the caller has more than the text of one choice (tool calls,
  /// several choices, a finish reason), which a replay could not continue.
  bool can_replay() const { return can_replay_; }

 private:
  result<void, relay_fault> TakeEvent(const std::string& data,
                                      std::string& output);

  sse_parser parser_;
  std::uint64_t events_ = 0;
  bool continues_ = false;
  bool delivered_ = false;
  bool done_ = false;
  bool can_replay_ = true;
  std::string text_;
  /// JSON object with `id` and `created` of the first event; replays keep them.
  std::string identity_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_STREAM_RELAY_H_
