#ifndef MARJORAMSILL_CONNECTION_CALLER_CONNECTION_HOOKS_H_
#define MARJORAMSILL_CONNECTION_CALLER_CONNECTION_HOOKS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "connection/caller_message.h"
#include "connection/parse_state.h"

namespace marjoramsill {

class caller_connection;
class memory_budget;

/// Hooks that the owner of caller connections provides.
struct caller_connection_hooks {
  /// Called with a complete request. The owner must send exactly one response.
  std::function<void(const std::shared_ptr<caller_connection>&, caller_message)>
      on_request;
  /// Called when the connection has ended and has no request in progress.
  std::function<void(caller_connection&)> on_end;
  /// Called when a request could not be parsed or was not complete in time. The
  /// connection sends the response itself.
  std::function<void(parse_state, int status)> on_invalid_request;
  /// Called when this process closes a connection although the caller has not
  /// received the whole last response: the id of its request, bytes that were
  /// not sent, and bytes that the caller's host has not acknowledged. The
  /// kernel goes on to deliver the latter.
  std::function<void(std::string_view request, std::size_t unsent,
                     std::size_t unacknowledged)>
      on_unreceived = [](std::string_view, std::size_t, std::size_t) {};
  /// Bounds the bytes held for the connections; none: they are not bounded.
  memory_budget* memory = nullptr;
  /// Further fields of the response to a request that is refused for want of
  /// memory.
  http_field_list memory_refusal;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALLER_CONNECTION_HOOKS_H_
