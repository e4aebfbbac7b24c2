#ifndef MARJORAMSILL_VERSION_ROUTING_CALLER_LIMITS_H_
#define MARJORAMSILL_VERSION_ROUTING_CALLER_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace marjoramsill {

/// Size and time limits for requests of callers.
struct caller_limits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  /// From the first byte of a request to the end of its headers.
  std::chrono::milliseconds header_timeout{3'000};
  /// Connections without a request for this long are closed.
  std::chrono::milliseconds idle_timeout{15'000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_CALLER_LIMITS_H_
