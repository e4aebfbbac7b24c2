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
  /// Without port, in lower case.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::kIdempotent;
  /// Longest time that a request of this route may take.
  std::chrono::milliseconds timeout{0};
  /// Time to the answer, or to the first event, that the operator aims at.
  std::chrono::milliseconds latency_target{0};
  /// Longest pause between two events that the operator aims at.
  std::chrono::milliseconds gap_target{0};
  /// 0 is the most urgent.
  int rank = 0;
  std::vector<route_target> targets;
  /// Endpoints that one request may be sent to.
  int max_attempts = 1;
  /// Requests need no key.
  bool is_public = false;
  /// Requests name the parts of their prompt.
  bool uses_prefix_cache = false;
  /// An interrupted stream may go on at another endpoint.
  bool is_resumable = false;

  bool IsRepeatable() const {
    return kind == route_kind::kIdempotent ||
           (kind == route_kind::kStreaming && is_resumable);
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTE_RULE_H_
