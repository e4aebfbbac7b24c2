#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_LIMITS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_LIMITS_H_

#include <optional>
#include <vector>

#include "process/directory/stream_origin.h"
#include "types/ids.h"

namespace marjoramsill {

/// The endpoints of a pool that a request may be sent to.
struct placement_limits {
  /// Endpoints that this request was sent to before; not chosen again.
  std::vector<endpoint_id> tried;
  /// Software that began the stream which the request goes on with. Nothing:
  /// any.
  std::optional<software_digest> software;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_LIMITS_H_
