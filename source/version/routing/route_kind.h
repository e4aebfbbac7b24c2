#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTE_KIND_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTE_KIND_H_

namespace marjoramsill {

/// The kind of the requests of a route. It determines whether they may be
/// repeated.
enum class route_kind {
  /// May run any number of times.
  kIdempotent,
  /// Runs at most once per attempt of the caller.
  kNonIdempotent,
  /// The response is a stream of server-sent events. Runs at most once, unless
  /// the route is resumable.
  kStreaming,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTE_KIND_H_
