#ifndef MARJORAMSILL_CONNECTION_REQUEST_PARSER_H_
#define MARJORAMSILL_CONNECTION_REQUEST_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <string_view>

#include "connection/caller_message.h"
#include "connection/parse_state.h"

namespace marjoramsill {

/// Parses the requests of one connection one after the other (http_parser).
/// Ambiguous requests are malformed: those with two lengths, with a length and
/// chunks, or without exactly one Host field.
class request_parser {
 public:
  request_parser(std::size_t max_head_bytes, std::size_t max_body_bytes);
  request_parser(const request_parser&) = delete;
  request_parser& operator=(const request_parser&) = delete;

  /// Parses up to the end of one request; returns the number of bytes used.
  std::size_t Read(std::string_view bytes);
  parse_state state() const { return state_; }
  /// Returns once whether the head is complete and requests an interim response
  /// (100 Continue) before the body.
  bool TakeExpectContinue();
  /// Returns the complete request and prepares for the next one.
  caller_message Take();
  /// Bytes of the request that is being received.
  std::size_t held_bytes() const;
  /// Releases the request that is being received. No further one is parsed.
  void Discard();
  void SetLimits(std::size_t max_head_bytes, std::size_t max_body_bytes);

 private:
  template <class Parser>
  friend http_parser_settings ParserCallbacks();

  static request_parser& Self(http_parser* parser);
  static int OnBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, std::size_t length);
  static int OnField(http_parser* parser, const char* at, std::size_t length);
  static int OnValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHeadEnd(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnEnd(http_parser* parser);
  static const http_parser_settings& Settings();
  bool AddHeadBytes(std::size_t length);
  bool HasUnambiguousFraming() const;

  http_parser parser_;
  std::size_t max_head_bytes_;
  std::size_t max_body_bytes_;
  std::size_t head_bytes_ = 0;
  bool reading_value_ = false;
  bool expects_continue_ = false;
  parse_state state_ = parse_state::kIdle;
  caller_message message_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_REQUEST_PARSER_H_
