#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTE_KIND_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTE_KIND_H_

namespace marjoramsill {

/// What a route's requests are, which decides whether they may be repeated.
enum class route_kind {
  /// May run any number of times.
  kIdempotent,
  /// Runs at most once for each attempt of the caller.
  kNonIdempotent,
  /// Answered with server-sent events. Runs at most once, unless the route
  /// allows to resume it.
  kStreaming,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTE_KIND_H_
