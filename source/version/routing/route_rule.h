#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTE_RULE_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTE_RULE_H_

#include <chrono>
#include <string>
#include <vector>

#include "version/routing/route_kind.h"
#include "version/routing/route_target.h"

namespace marjoramsill {

/// One route of a routing document.
struct route_rule {
  std::string name;
  /// Host name in lower case, without port.
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::kIdempotent;
  /// Maximum duration of a request.
  std::chrono::milliseconds timeout{0};
  /// Target for the time to the response, or to the first event of a stream.
  std::chrono::milliseconds latency_target{0};
  /// Target for the longest gap between two events of a stream.
  std::chrono::milliseconds gap_target{0};
  /// 0 is the most urgent.
  int rank = 0;
  std::vector<route_target> targets;
  /// Maximum number of endpoints to which one request is sent.
  int max_attempts = 1;
  /// True if requests need no key.
  bool is_public = false;
  /// True if requests name the parts of their prompt.
  bool uses_prefix_cache = false;
  /// True if an interrupted stream may continue on another endpoint.
  bool is_resumable = false;

  bool IsRepeatable() const {
    return kind == route_kind::kIdempotent ||
           (kind == route_kind::kStreaming && is_resumable);
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTE_RULE_H_
