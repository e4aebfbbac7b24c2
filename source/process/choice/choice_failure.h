#ifndef MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_H_
#define MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_H_

#include <optional>

#include "process/choice/no_choice.h"
#include "process/choice/placement.h"

namespace marjoramsill {

struct choice_failure {
  no_choice why = no_choice::kNoEndpoint;
  /// First endpoint in the order that lacks nothing but fresh evidence.
  std::optional<endpoint_index> probe;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_H_
