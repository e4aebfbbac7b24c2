#ifndef MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_ENDPOINT_H_
#define MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_ENDPOINT_H_

#include <cstdint>

#include "types/ids.h"

namespace marjoramsill {

struct placement_endpoint {
  endpoint_id id;
  failure_domain_id domain;
  /// Requests that the endpoint runs at once; its share of the load.
  std::uint32_t capacity = 1;
  /// Prompt tokens that it computes a second.
  std::uint32_t prefill_rate = 10000;
  /// A draining endpoint takes no new work, but its chats stay grouped.
  bool draining = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_ENDPOINT_H_
