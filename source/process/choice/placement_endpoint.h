#ifndef MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_ENDPOINT_H_
#define MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_ENDPOINT_H_

#include <cstdint>

#include "types/ids.h"

namespace marjoramsill {

/// An endpoint as input of a placement.
struct placement_endpoint {
  endpoint_id id;
  failure_domain_id domain;
  /// Number of requests that the endpoint runs concurrently. Its share of the
  /// load is proportional to this.
  std::uint32_t capacity = 1;
  /// Prompt tokens that the endpoint processes per second.
  std::uint32_t prefill_rate = 10000;
  /// A draining endpoint gets no new requests but stays on the ring, so that
  /// only its own chats move.
  bool draining = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_ENDPOINT_H_
