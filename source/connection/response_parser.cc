#include "connection/response_parser.h"

#include <utility>

#include "connection/parser_callbacks.h"

namespace marjoramsill {
namespace {

constexpr int kContinue = 0;
constexpr int kStop = 1;
/// Tells http_parser that the response has no body, whatever its fields
/// declare.
constexpr int kNoBody = 1;
constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
/// What the head of an interim response counts at least.
constexpr std::size_t kInterimBytes = 1024;
/// To http_parser, 1 means "no body" at the end of a head; -1 means an error.
constexpr int kMalformed = -1;

}  // namespace

response_parser::response_parser(body_hook on_body)
    : on_body_(std::move(on_body)) {
  Begin(false);
}

void response_parser::Begin(bool head_request) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  head_request_ = head_request;
  reading_value_ = false;
  allows_reuse_ = false;
  head_bytes_ = 0;
  state_ = parse_state::kIdle;
  head_ = {};
}

std::size_t response_parser::Read(std::string_view bytes) {
  if (state_ == parse_state::kComplete || bytes.empty()) return 0;
  const std::size_t used =
      http_parser_execute(&parser_, &Settings(), bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
  } else if (error != HPE_OK || parser_.upgrade != 0) {
    if (state_ != parse_state::kComplete) state_ = parse_state::kMalformed;
  }
  return used;
}

bool response_parser::ReadEnd() {
  if (state_ != parse_state::kInBody) return false;
  http_parser_execute(&parser_, &Settings(), nullptr, 0);
  return state_ == parse_state::kComplete;
}

response_parser& response_parser::Self(http_parser* parser) {
  return *static_cast<response_parser*>(parser->data);
}

int response_parser::OnBegin(http_parser* parser) {
  response_parser& self = Self(parser);
  self.state_ = parse_state::kInHead;
  self.reading_value_ = false;
  self.head_ = {};
  return kContinue;
}

int response_parser::OnField(http_parser* parser, const char* at,
                             std::size_t length) {
  response_parser& self = Self(parser);
  http_field_list& fields = self.head_.fields;
  if (fields.empty() || self.reading_value_) fields.emplace_back();
  self.reading_value_ = false;
  fields.back().name.append(at, length);
  self.head_bytes_ += length;
  return self.head_bytes_ <= kMaxHeadBytes ? kContinue : kStop;
}

int response_parser::OnValue(http_parser* parser, const char* at,
                             std::size_t length) {
  response_parser& self = Self(parser);
  self.reading_value_ = true;
  self.head_.fields.back().value.append(at, length);
  self.head_bytes_ += length;
  return self.head_bytes_ <= kMaxHeadBytes ? kContinue : kStop;
}

int response_parser::OnHeadEnd(http_parser* parser) {
  response_parser& self = Self(parser);
  // RFC 9110 section 15. One below 100 would be skipped like an interim one.
  if (parser->status_code < kFirstStatus || parser->status_code > kLastStatus) {
    return kMalformed;
  }
  if (parser->status_code < kFirstFinalStatus) {
    // Bounds their number.
    self.head_bytes_ += kInterimBytes;
    return self.head_bytes_ <= kMaxHeadBytes ? kContinue : kMalformed;
  }
  self.head_.status = static_cast<int>(parser->status_code);
  if ((parser->flags & F_CONTENTLENGTH) != 0) {
    self.head_.length = parser->content_length;
  }
  self.head_.ends_with_connection =
      (parser->flags & (F_CONTENTLENGTH | F_CHUNKED)) == 0;
  self.state_ = parse_state::kInBody;
  // Read() returns after the head, so that its caller can check the head before
  // the body is passed to the hook.
  http_parser_pause(parser, 1);
  return self.head_request_ ? kNoBody : kContinue;
}

int response_parser::OnBody(http_parser* parser, const char* at,
                            std::size_t length) {
  Self(parser).on_body_(std::string_view(at, length));
  return kContinue;
}

int response_parser::OnEnd(http_parser* parser) {
  response_parser& self = Self(parser);
  if (parser->status_code < kFirstFinalStatus) {
    self.state_ = parse_state::kIdle;
    return kContinue;
  }
  self.state_ = parse_state::kComplete;
  self.allows_reuse_ = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return kContinue;
}

const http_parser_settings& response_parser::Settings() {
  static const http_parser_settings settings =
      ParserCallbacks<response_parser>();
  return settings;
}

}  // namespace marjoramsill
