#ifndef MARJORAMSILL_CONNECTION_HTTP_SERVER_H_
#define MARJORAMSILL_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "connection/http_server_settings.h"
#include "connection/listen_error.h"
#include "request/http_request.h"
#include "types/result.h"

namespace asio {
class io_context;
}  // namespace asio

namespace marjoramsill {

class http_responder;

/// HTTP/1.1 server on one address (RESTinio). The handler may run on any
/// thread of the I/O context and must not block.
class http_server {
 public:
  using handler =
      std::function<void(http_request, const std::shared_ptr<http_responder>&)>;

  http_server(asio::io_context& io, const http_server_settings& settings,
              handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  result<void, listen_error> Listen();
  /// Stops accepting connections; open ones stay open.
  void StopAccepting();
  /// Closes each connection after its next response.
  void CloseAfterResponses();
  /// Requests whose response has not ended.
  std::size_t open_requests() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_HTTP_SERVER_H_
