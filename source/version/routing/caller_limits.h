#ifndef MARJORAMSILL_VERSION_ROUTING_CALLER_LIMITS_H_
#define MARJORAMSILL_VERSION_ROUTING_CALLER_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace marjoramsill {

/// What a caller may send, and how long it may take.
struct caller_limits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  /// From the first byte of a request to the end of its head.
  std::chrono::milliseconds header_timeout{3'000};
  /// A connection without a request for this long is closed.
  std::chrono::milliseconds idle_timeout{15'000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_CALLER_LIMITS_H_
