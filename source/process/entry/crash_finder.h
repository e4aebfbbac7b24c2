#ifndef MARJORAMSILL_PROCESS_ENTRY_CRASH_FINDER_H_
#define MARJORAMSILL_PROCESS_ENTRY_CRASH_FINDER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <vector>

#include "process/entry/crash_decision.h"
#include "process/entry/crash_evidence.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
class endpoint_connection_pool;

/// Collects what crash_evidence needs: connects again to endpoints that refused
/// connections, and asks the control processes for their heartbeats. Used on
/// the thread of the entry process.
class crash_finder {
 public:
  using decision_hook = std::function<void(const crash_decision&)>;

  crash_finder(asio::io_context& io, endpoint_connection_pool& connections,
               control_watcher& members, decision_hook on_decision);

  crash_evidence& evidence() { return evidence_; }
  /// Starts what is due and reports decisions. Call on every tick.
  void Tick(steady_time now);

 private:
  void Probe(const endpoint_record& endpoint);
  void Ask(const std::vector<heartbeat_question>& questions, steady_time now);

  asio::io_context& io_;
  endpoint_connection_pool& connections_;
  control_watcher& members_;
  const decision_hook on_decision_;
  crash_evidence evidence_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CRASH_FINDER_H_
