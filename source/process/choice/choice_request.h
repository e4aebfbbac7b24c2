#ifndef MARJORAMSILL_PROCESS_CHOICE_CHOICE_REQUEST_H_
#define MARJORAMSILL_PROCESS_CHOICE_CHOICE_REQUEST_H_

#include <cstdint>
#include <span>

#include "process/choice/placement.h"
#include "types/units.h"

namespace marjoramsill {

/// A request for which an endpoint is chosen.
struct choice_request {
  /// Hash of the chat id or prefix key, from PlacementKey().
  std::uint64_t key = 0;
  /// Prompt tokens that a prefix cache may hold.
  token_count prefix_tokens;
  cost_units cost;
  /// Endpoints already tried for this request.
  std::span<const endpoint_index> excluded;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_CHOICE_REQUEST_H_
