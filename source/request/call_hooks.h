#ifndef MARJORAMSILL_REQUEST_CALL_HOOKS_H_
#define MARJORAMSILL_REQUEST_CALL_HOOKS_H_

#include <functional>
#include <optional>
#include <vector>

#include "request/retry_budget.h"
#include "types/ids.h"
#include "types/random_source.h"

namespace marjoramsill {

/// Chooses an endpoint that is not in `tried`; nullopt if none is available.
/// Called with the lock of the call's shard held.
using endpoint_selector = std::function<std::optional<endpoint_id>(
    const std::vector<endpoint_id>& tried)>;

/// Returns an attempt id that is unique across all VMs.
using attempt_id_source = std::function<attempt_id()>;

/// Dependencies of a call. `budget` is the retry budget of the call's shard and
/// must outlive the call.
struct call_hooks {
  endpoint_selector choose;
  attempt_id_source next_attempt;
  random_source random;
  retry_budget* budget = nullptr;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CALL_HOOKS_H_
