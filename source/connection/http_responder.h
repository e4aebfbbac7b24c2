#ifndef MARJORAMSILL_CONNECTION_HTTP_RESPONDER_H_
#define MARJORAMSILL_CONNECTION_HTTP_RESPONDER_H_

#include <functional>
#include <memory>
#include <string>

#include "request/http_field.h"

namespace marjoramsill {

/// Answers one HTTP request. All functions may be called from any thread;
/// exactly one of Respond() and Begin()...End() is used, calls after the end
/// of the answer have no effect.
class http_responder {
 public:
  virtual ~http_responder() = default;

  /// Sends a whole answer.
  virtual void Respond(int status, const http_field_list& fields,
                       std::string body) = 0;
  /// Starts an answer in chunks.
  virtual void Begin(int status, const http_field_list& fields) = 0;
  /// Sends the next chunk. No chunk is sent for empty data.
  virtual void Write(std::string data) = 0;
  /// Ends an answer in chunks.
  virtual void End() = 0;

  /// Called once, from an I/O thread, when the caller's connection has ended
  /// before the answer. Set before the handler returns.
  virtual void OnDisconnect(std::function<void()> hook) = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_HTTP_RESPONDER_H_
