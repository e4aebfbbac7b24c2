#ifndef MARJORAMSILL_REQUEST_HTTP_REQUEST_H_
#define MARJORAMSILL_REQUEST_HTTP_REQUEST_H_

#include <string>

#include "request/http_field.h"

namespace marjoramsill {

/// An HTTP request as received from a caller, an endpoint or an operator.
struct http_request {
  std::string method;
  /// Path without the query, not percent-decoded.
  std::string path;
  /// Query without the question mark.
  std::string query;
  http_field_list fields;
  std::string body;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_HTTP_REQUEST_H_
