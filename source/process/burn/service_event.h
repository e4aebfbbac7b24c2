#ifndef MARJORAMSILL_PROCESS_BURN_SERVICE_EVENT_H_
#define MARJORAMSILL_PROCESS_BURN_SERVICE_EVENT_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjoramsill {

/// Outcome of a request. The numeric value is an array index and is encoded in
/// peer messages, so new values must be added at the end.
enum class service_event {
  kGood,
  kLateFirstToken,
  kSlowBetweenTokens,
  kRefusedDeadline,
  kRefusedQueueFull,
  kRefusedNoCapacity,
  kRefusedLimit,
  kFailedEndpoint,
  kFailedTimeout,
  kFailedTruncated,
};

inline constexpr std::size_t kServiceEventCount = 10;

using event_counts = std::array<std::uint64_t, kServiceEventCount>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_SERVICE_EVENT_H_
