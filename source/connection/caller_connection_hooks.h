#ifndef MARJORAMSILL_CONNECTION_CALLER_CONNECTION_HOOKS_H_
#define MARJORAMSILL_CONNECTION_CALLER_CONNECTION_HOOKS_H_

#include <functional>
#include <memory>

#include "connection/caller_message.h"
#include "connection/parse_state.h"

namespace marjoramsill {

class caller_connection;

/// What the owner of caller connections provides.
struct caller_connection_hooks {
  /// A whole request has arrived. Exactly one answer follows.
  std::function<void(const std::shared_ptr<caller_connection>&, caller_message)>
      on_request;
  /// The connection has ended and holds no request any more.
  std::function<void(caller_connection&)> on_end;
  /// A request could not be read; the connection has answered it.
  std::function<void(parse_state, int status)> on_unreadable;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_CALLER_CONNECTION_HOOKS_H_
