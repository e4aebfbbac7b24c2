#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_POOL_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_POOL_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "connection/endpoint_connection.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Idle connections to endpoints. The one that was used last is reused first,
/// so that connections opened for a burst reach their idle limit and are
/// closed. Not thread-safe.
class endpoint_connection_pool {
 public:
  /// `source`: local IP of the connections; empty: chosen by the system.
  explicit endpoint_connection_pool(asio::io_context& io,
                                    std::string source = "");
  ~endpoint_connection_pool();
  endpoint_connection_pool(const endpoint_connection_pool&) = delete;
  endpoint_connection_pool& operator=(const endpoint_connection_pool&) = delete;

  /// Returns an idle connection to the endpoint, or null. `must_be_fresh`
  /// applies a shorter idle limit, for requests that may run only once and
  /// therefore cannot be repeated if the endpoint closes the connection.
  std::shared_ptr<endpoint_connection> TakeIdle(const endpoint_id& endpoint,
                                                bool must_be_fresh,
                                                steady_time now);
  /// Returns a new connection that is not yet established.
  std::shared_ptr<endpoint_connection> Open(const endpoint_id& endpoint,
                                            const std::string& address);
  bool HasIdle(const endpoint_id& endpoint) const {
    const auto found = idle_.find(endpoint);
    return found != idle_.end() && !found->second.empty();
  }
  /// The established connections to the endpoint, idle or in use.
  std::vector<std::shared_ptr<endpoint_connection>> OpenConnections(
      const endpoint_id& endpoint) const;
  /// Returns a connection to the pool after a call; closes it if it cannot be
  /// reused.
  void Release(const endpoint_id& endpoint,
               std::shared_ptr<endpoint_connection> connection,
               steady_time now);
  /// Closes the idle connections to an endpoint that has left the fleet.
  void Drop(const endpoint_id& endpoint);
  /// Closes connections shortly before their endpoints do.
  void Expire(steady_time now);

  std::uint64_t opened() const { return opened_; }

  /// Called when an endpoint has closed an idle connection.
  void OnIdleEnd(std::function<void(const endpoint_id&)> hook) {
    on_idle_end_ = std::move(hook);
  }

 private:
  using idle_list = std::vector<std::shared_ptr<endpoint_connection>>;
  void RemoveIdle(const endpoint_id& endpoint, endpoint_connection& ended);

  asio::io_context& io_;
  const std::string source_;
  std::map<endpoint_id, idle_list> idle_;
  /// All connections, also those that calls use.
  std::map<endpoint_id, std::vector<std::weak_ptr<endpoint_connection>>> all_;
  std::uint64_t opened_ = 0;
  std::function<void(const endpoint_id&)> on_idle_end_ =
      [](const endpoint_id&) {};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CONNECTION_POOL_H_
