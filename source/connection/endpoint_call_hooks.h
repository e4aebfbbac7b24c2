#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CALL_HOOKS_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CALL_HOOKS_H_

#include <functional>
#include <string_view>

#include "connection/call_failure.h"
#include "connection/endpoint_response_head.h"

namespace marjoramsill {

/// Hooks of one call on an endpoint_connection. All must be set. Exactly one of
/// `on_end` and `on_failure` is called, unless the owner closes the connection.
struct endpoint_call_hooks {
  /// True if the response with this head belongs to the call. Otherwise it is
  /// skipped and the next response is awaited.
  std::function<bool(const endpoint_response_head&)> accepts;
  std::function<void(const endpoint_response_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  /// Called after all data of one read has been passed to the other hooks.
  std::function<void()> on_read_end;
  std::function<void()> on_end;
  std::function<void(call_failure)> on_failure;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CALL_HOOKS_H_
