#ifndef MARJORAMSILL_CONNECTION_MEMORY_KIND_H_
#define MARJORAMSILL_CONNECTION_MEMORY_KIND_H_

#include <cstddef>
#include <string_view>

namespace marjoramsill {

/// What a connection of a caller makes its process hold.
enum class memory_kind {
  /// Requests that are not complete, heads included.
  kIncomingRequests,
  /// Complete requests that are in progress, with the copy that is sent on.
  kHeldRequests,
  /// Responses that the caller's host has not taken.
  kUnsentResponses,
  /// Parts of endpoint responses that wait for their end.
  kEndpointResponses,
};

inline constexpr std::size_t kMemoryKindCount = 4;

/// Label of metrics and log lines.
std::string_view MemoryKindText(memory_kind kind);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_MEMORY_KIND_H_
