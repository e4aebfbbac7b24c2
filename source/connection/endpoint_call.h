#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CALL_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CALL_H_

#include <chrono>
#include <functional>
#include <string>

#include "connection/endpoint_call_end.h"
#include "request/http_field.h"

namespace marjoramsill {

/// One HTTP request to an endpoint with the hooks for its response. The hooks
/// run on the client's thread, in this order: on_headers at most once, on_data
/// any number of times, on_end exactly once unless the call is cancelled.
struct endpoint_call {
  std::string method = "POST";
  std::string url;
  http_field_list fields;
  std::string body;
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds total_timeout{60'000};
  /// Uses a new connection. On a reused connection that turns out to be closed,
  /// libcurl sends the request a second time, which is not acceptable for calls
  /// that are not repeatable.
  bool fresh_connection = false;

  /// Called when the connection is established, before the first byte is sent.
  /// Nothing is sent if it returns false. A second connection for the same
  /// call, which libcurl opens when a reused one turns out to be closed, is
  /// refused.
  std::function<bool()> on_connected;
  std::function<void(int status, const http_field_list& fields)> on_headers;
  std::function<void(std::string data)> on_data;
  std::function<void(endpoint_call_end end)> on_end;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CALL_H_
