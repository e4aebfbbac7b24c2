#include "connection/request_parser.h"

#include <climits>
#include <utility>

#include "connection/parser_callbacks.h"

namespace marjoramsill {
namespace {

constexpr int kStop = 1;
constexpr int kContinue = 0;
/// Bytes of a field line in addition to name and value: colon, space and line
/// end.
constexpr std::size_t kFieldOverhead = 4;

}  // namespace

request_parser::request_parser(std::size_t max_head_bytes,
                               std::size_t max_body_bytes)
    : max_head_bytes_(max_head_bytes), max_body_bytes_(max_body_bytes) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

void request_parser::SetLimits(std::size_t max_head_bytes,
                               std::size_t max_body_bytes) {
  max_head_bytes_ = max_head_bytes;
  max_body_bytes_ = max_body_bytes;
}

std::size_t request_parser::Read(std::string_view bytes) {
  if (state_ == parse_state::kComplete || bytes.empty()) return 0;
  const std::size_t used =
      http_parser_execute(&parser_, &Settings(), bytes.data(), bytes.size());
  if (state_ == parse_state::kComplete) {
    http_parser_pause(&parser_, 0);
    return used;
  }
  const bool failed = HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade;
  if (failed && state_ != parse_state::kHeadTooLarge &&
      state_ != parse_state::kBodyTooLarge) {
    const bool overflow = HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW;
    state_ = overflow ? parse_state::kHeadTooLarge : parse_state::kMalformed;
  }
  return used;
}

bool request_parser::TakeExpectContinue() {
  return std::exchange(expects_continue_, false);
}

caller_message request_parser::Take() {
  state_ = parse_state::kIdle;
  head_bytes_ = 0;
  reading_value_ = false;
  expects_continue_ = false;
  return std::exchange(message_, {});
}

std::size_t request_parser::held_bytes() const {
  return HeldBytes(message_, head_bytes_);
}

void request_parser::Discard() {
  state_ = parse_state::kMalformed;
  // Assigning an empty message would keep the memory of its strings.
  const caller_message released = std::exchange(message_, {});
}

request_parser& request_parser::Self(http_parser* parser) {
  return *static_cast<request_parser*>(parser->data);
}

bool request_parser::AddHeadBytes(std::size_t length) {
  head_bytes_ += length;
  if (head_bytes_ <= max_head_bytes_) return true;
  state_ = parse_state::kHeadTooLarge;
  return false;
}

int request_parser::OnBegin(http_parser* parser) {
  Self(parser).state_ = parse_state::kInHead;
  return kContinue;
}

int request_parser::OnUrl(http_parser* parser, const char* at,
                          std::size_t length) {
  request_parser& self = Self(parser);
  self.message_.target.append(at, length);
  return self.AddHeadBytes(length) ? kContinue : kStop;
}

int request_parser::OnField(http_parser* parser, const char* at,
                            std::size_t length) {
  request_parser& self = Self(parser);
  http_field_list& fields = self.message_.fields;
  if (fields.empty() || self.reading_value_) {
    fields.emplace_back();
    if (!self.AddHeadBytes(kFieldOverhead)) return kStop;
  }
  self.reading_value_ = false;
  fields.back().name.append(at, length);
  return self.AddHeadBytes(length) ? kContinue : kStop;
}

int request_parser::OnValue(http_parser* parser, const char* at,
                            std::size_t length) {
  request_parser& self = Self(parser);
  self.reading_value_ = true;
  self.message_.fields.back().value.append(at, length);
  return self.AddHeadBytes(length) ? kContinue : kStop;
}

bool request_parser::HasUnambiguousFraming() const {
  const int lengths = CountFields(message_.fields, "Content-Length");
  const int codings = CountFields(message_.fields, "Transfer-Encoding");
  if (lengths + codings > 1) return false;
  if (CountFields(message_.fields, "Host") != 1) return false;
  if (codings == 0) return true;
  const http_field* coding = FindField(message_.fields, "Transfer-Encoding");
  return SameFieldName(coding->value, "chunked");
}

int request_parser::OnHeadEnd(http_parser* parser) {
  request_parser& self = Self(parser);
  caller_message& message = self.message_;
  if (!self.HasUnambiguousFraming() || message.target.front() != '/') {
    self.state_ = parse_state::kMalformed;
    // To http_parser, 1 means "no body"; -1 means an error.
    return -1;
  }
  if (parser->content_length != ULLONG_MAX &&
      parser->content_length > self.max_body_bytes_) {
    self.state_ = parse_state::kBodyTooLarge;
    return -1;
  }
  message.method = http_method_str(static_cast<http_method>(parser->method));
  message.keep_alive = http_should_keep_alive(parser) != 0;
  message.accepts_chunks = parser->http_major > 1 || parser->http_minor >= 1;
  const http_field* expect = FindField(message.fields, "Expect");
  self.expects_continue_ =
      expect != nullptr && SameFieldName(expect->value, "100-continue");
  self.state_ = parse_state::kInBody;
  return kContinue;
}

int request_parser::OnBody(http_parser* parser, const char* at,
                           std::size_t length) {
  request_parser& self = Self(parser);
  if (self.message_.body.size() + length > self.max_body_bytes_) {
    self.state_ = parse_state::kBodyTooLarge;
    return kStop;
  }
  self.message_.body.append(at, length);
  return kContinue;
}

int request_parser::OnEnd(http_parser* parser) {
  Self(parser).state_ = parse_state::kComplete;
  // The next request of the connection is not parsed until Take() was called.
  http_parser_pause(parser, 1);
  return kContinue;
}

const http_parser_settings& request_parser::Settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made = ParserCallbacks<request_parser>();
    made.on_url = OnUrl;
    return made;
  }();
  return settings;
}

}  // namespace marjoramsill
