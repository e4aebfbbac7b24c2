#ifndef MARJORAMSILL_VERSION_ROUTING_WARM_UP_SPEC_H_
#define MARJORAMSILL_VERSION_ROUTING_WARM_UP_SPEC_H_

#include <chrono>

namespace marjoramsill {

/// Request limit of the endpoints of a pool while they are cold.
struct warm_up_spec {
  /// Requests that a cold endpoint takes per second from all entry VMs
  /// together.
  double per_second = 0;
  /// Usual time from the start of an endpoint until it is warm.
  std::chrono::milliseconds duration{0};

  friend bool operator==(const warm_up_spec&, const warm_up_spec&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_WARM_UP_SPEC_H_
