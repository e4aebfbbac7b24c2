#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_RESPONSE_HEAD_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_RESPONSE_HEAD_H_

#include <cstdint>
#include <optional>

#include "request/http_field.h"

namespace marjoramsill {

/// Status and fields of an endpoint's response.
struct endpoint_response_head {
  int status = 0;
  http_field_list fields;
  /// Length of the body, if the endpoint has declared it.
  std::optional<std::uint64_t> length;
  /// Neither a length nor chunks: the body ends with the connection, also if
  /// the endpoint broke it off.
  bool ends_with_connection = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_RESPONSE_HEAD_H_
