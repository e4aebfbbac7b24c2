#ifndef MARJORAMSILL_PROCESS_ENTRY_REACH_PROBER_H_
#define MARJORAMSILL_PROCESS_ENTRY_REACH_PROBER_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>

#include "process/placement/pool_reach.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class endpoint_connection_pool;
class endpoint_pool;
class pool_table;

/// Opens connections to some endpoints of a pool when its links may be lost,
/// and while they are. Established ones are kept for requests. Used on the
/// thread of the entry process.
class reach_prober {
 public:
  /// Called when the state of a pool's links has changed, with the numbers of
  /// endpoints that the probes reached and did not.
  using change_hook = std::function<void(
      const model_id&, link_state, std::size_t reached, std::size_t failed)>;

  reach_prober(asio::io_context& io, endpoint_connection_pool& connections,
               pool_table& pools, change_hook on_change);

  /// Starts the probes that are due. Call on every tick.
  void Tick(steady_time now);

 private:
  struct probe_round;

  void Start(const model_id& id, endpoint_pool& pool);

  asio::io_context& io_;
  endpoint_connection_pool& connections_;
  pool_table& pools_;
  const change_hook on_change_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_REACH_PROBER_H_
