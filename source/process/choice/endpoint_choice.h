#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOICE_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOICE_H_

#include <cstdint>
#include <optional>

#include "process/choice/placement.h"

namespace marjoramsill {

/// A chosen endpoint.
struct endpoint_choice {
  endpoint_index index = 0;
  /// Number of load table entries read.
  std::uint32_t examined = 0;
  /// True if the endpoint is the preferred one: the first in the key's order
  /// that is not excluded, draining or not admitted.
  bool is_preferred = false;
  /// An earlier endpoint in the key's order that is unusable only because its
  /// status is stale. If a probe of it succeeds, later requests of the key can
  /// use it again.
  std::optional<endpoint_index> probe;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOICE_H_
