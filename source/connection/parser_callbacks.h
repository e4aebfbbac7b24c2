#ifndef MARJORAMSILL_CONNECTION_PARSER_CALLBACKS_H_
#define MARJORAMSILL_CONNECTION_PARSER_CALLBACKS_H_

#include <http_parser.h>

namespace marjoramsill {

/// Returns the http_parser callbacks that request and response parsers have in
/// common, which are static functions of `Parser`.
template <class Parser>
http_parser_settings ParserCallbacks() {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_message_begin = Parser::OnBegin;
  callbacks.on_header_field = Parser::OnField;
  callbacks.on_header_value = Parser::OnValue;
  callbacks.on_headers_complete = Parser::OnHeadEnd;
  callbacks.on_body = Parser::OnBody;
  callbacks.on_message_complete = Parser::OnEnd;
  return callbacks;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_PARSER_CALLBACKS_H_
