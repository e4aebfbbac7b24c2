#ifndef MARJORAMSILL_REQUEST_CALL_HOOKS_H_
#define MARJORAMSILL_REQUEST_CALL_HOOKS_H_

#include <functional>
#include <optional>
#include <vector>

#include "request/retry_budget.h"
#include "types/ids.h"
#include "types/random_source.h"

namespace marjoramsill {

/// Chooses an endpoint outside of `tried`; nullopt if none may be used. Called
/// under the lock of the call's shard.
using endpoint_selector = std::function<std::optional<endpoint_id>(
    const std::vector<endpoint_id>& tried)>;

/// Returns an attempt id that was never used before, on any VM.
using attempt_id_source = std::function<attempt_id()>;

/// What a call needs from its surroundings. `budget` is the one of the call's
/// shard and outlives the call.
struct call_hooks {
  endpoint_selector choose;
  attempt_id_source next_attempt;
  random_source random;
  retry_budget* budget = nullptr;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CALL_HOOKS_H_
