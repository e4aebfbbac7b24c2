#ifndef MARJORAMSILL_CONNECTION_HTTP_RESPONDER_H_
#define MARJORAMSILL_CONNECTION_HTTP_RESPONDER_H_

#include <functional>
#include <memory>
#include <string>

#include "request/http_field.h"

namespace marjoramsill {

/// Sends the response to one HTTP request. All functions may be called from any
/// thread; exactly one of Respond() and Begin()...End() is used. Calls after
/// the end of the response have no effect.
class http_responder {
 public:
  virtual ~http_responder() = default;

  /// Sends a complete response.
  virtual void Respond(int status, const http_field_list& fields,
                       std::string body) = 0;
  /// Starts a chunked response.
  virtual void Begin(int status, const http_field_list& fields) = 0;
  /// Sends the next chunk. No chunk is sent for empty data.
  virtual void Write(std::string data) = 0;
  /// Ends a chunked response.
  virtual void End() = 0;

  /// Sets a hook that is called once, on an I/O thread, if the caller's
  /// connection ends before the response does. Must be called before the
  /// handler returns.
  virtual void OnDisconnect(std::function<void()> hook) = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_HTTP_RESPONDER_H_
