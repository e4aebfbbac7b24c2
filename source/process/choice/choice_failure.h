#ifndef MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_H_
#define MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_H_

#include <optional>

#include "process/choice/choice_failure_reason.h"
#include "process/choice/placement.h"

namespace marjoramsill {

/// Result of a choice that found no endpoint.
struct choice_failure {
  choice_failure_reason reason = choice_failure_reason::kNoEndpoint;
  /// First endpoint in the key's order that is unusable only because its status
  /// is stale. The caller should probe it.
  std::optional<endpoint_index> probe;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_H_
