#ifndef MARJORAMSILL_PROCESS_PLACEMENT_REQUEST_DEMAND_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_REQUEST_DEMAND_H_

#include <vector>

#include "process/placement/prompt_part.h"
#include "types/units.h"

namespace marjoramsill {

/// The work of a request for a model engine, as the caller declared it. All
/// zero for requests to other services.
struct request_demand {
  /// Size of the complete prompt, including the parts.
  token_count prompt;
  /// Maximum number of tokens that the engine may generate.
  token_count output;
  /// Parts of the prompt in their order. The last one belongs to the session
  /// or to this request only; see session_detector.
  std::vector<prompt_part> parts;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_REQUEST_DEMAND_H_
