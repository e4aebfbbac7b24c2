#ifndef MARJORAMSILL_PROCESS_PLACEMENT_REQUEST_DEMAND_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_REQUEST_DEMAND_H_

#include <vector>

#include "process/placement/prompt_part.h"
#include "types/units.h"

namespace marjoramsill {

/// The work that a request asks of a model engine, as the caller declared it.
/// All zero for other requests.
struct request_demand {
  /// Whole prompt, with the parts.
  token_count prompt;
  /// Most tokens that the engine may generate.
  token_count output;
  /// In the order of the prompt. The last one belongs to the session.
  std::vector<prompt_part> parts;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_REQUEST_DEMAND_H_
