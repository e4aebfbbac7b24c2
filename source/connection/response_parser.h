#ifndef MARJORAMSILL_CONNECTION_RESPONSE_PARSER_H_
#define MARJORAMSILL_CONNECTION_RESPONSE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string_view>

#include "connection/endpoint_response_head.h"
#include "connection/parse_state.h"

namespace marjoramsill {

/// Parses the responses on a connection to an endpoint (http_parser). Interim
/// responses (1xx) are skipped.
class response_parser {
 public:
  /// Called with each part of the body, after removal of its transfer coding.
  using body_hook = std::function<void(std::string_view)>;

  explicit response_parser(body_hook on_body);
  response_parser(const response_parser&) = delete;
  response_parser& operator=(const response_parser&) = delete;

  /// Prepares for the next response. `head_request`: the response has no body.
  void Begin(bool head_request);
  /// Parses up to the end of the head or of the response; returns the number of
  /// bytes used. Call again with the remaining bytes until they are used or the
  /// response is complete.
  std::size_t Read(std::string_view bytes);
  /// Handles the end of the connection. Returns whether it completes the
  /// response.
  bool ReadEnd();

  parse_state state() const { return state_; }
  const endpoint_response_head& head() const { return head_; }
  /// Whether the endpoint keeps the connection open after the complete
  /// response.
  bool allows_reuse() const { return allows_reuse_; }

 private:
  template <class Parser>
  friend http_parser_settings ParserCallbacks();

  static response_parser& Self(http_parser* parser);
  static int OnBegin(http_parser* parser);
  static int OnField(http_parser* parser, const char* at, std::size_t length);
  static int OnValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHeadEnd(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnEnd(http_parser* parser);
  static const http_parser_settings& Settings();

  const body_hook on_body_;
  http_parser parser_;
  bool head_request_ = false;
  bool reading_value_ = false;
  bool allows_reuse_ = false;
  std::size_t head_bytes_ = 0;
  parse_state state_ = parse_state::kIdle;
  endpoint_response_head head_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_RESPONSE_PARSER_H_
