#ifndef MARJORAMSILL_TESTS_SOAK_HTTP_CALL_H_
#define MARJORAMSILL_TESTS_SOAK_HTTP_CALL_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "connection/endpoint_response_head.h"
#include "connection/socket_address.h"

namespace marjoramsill::soak {

/// The complete response to a call.
struct http_response {
  endpoint_response_head head;
  std::string body;
};

/// Sends one request on a new connection. `done` is called once; its argument
/// is empty after a failure, a timeout or an incomplete response.
void Call(asio::io_context& io, const socket_address& to,
          const std::string& bytes, std::chrono::milliseconds timeout,
          std::function<void(std::optional<http_response>)> done);

/// Serializes an HTTP/1.1 request with a body.
std::string RequestText(const std::string& method, const std::string& target,
                        const http_field_list& fields, const std::string& body);

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_HTTP_CALL_H_
