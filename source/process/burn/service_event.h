#ifndef MARJORAMSILL_PROCESS_BURN_SERVICE_EVENT_H_
#define MARJORAMSILL_PROCESS_BURN_SERVICE_EVENT_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjoramsill {

/// How a request ended. The numeric value is an array index and part of the
/// codec: new ones go to the end.
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
