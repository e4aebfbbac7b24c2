#ifndef MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_REASON_H_
#define MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_REASON_H_

#include <cstdint>

namespace marjoramsill {

enum class choice_failure_reason : std::uint8_t {
  /// No endpoint, or only excluded, draining and refused ones.
  kNoEndpoint,
  /// All usable endpoints are at the bound.
  kAllOverBound,
  /// Endpoints are known, but the status of each is stale.
  kAllStale
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_CHOICE_FAILURE_REASON_H_
