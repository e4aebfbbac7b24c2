#ifndef MARJORAMSILL_PROCESS_ENTRY_CONTENT_FAULT_MONITOR_H_
#define MARJORAMSILL_PROCESS_ENTRY_CONTENT_FAULT_MONITOR_H_

#include <asio/io_context.hpp>
#include <functional>
#include <vector>

#include "process/entry/content_breaker.h"
#include "process/entry/content_fault_reporter.h"
#include "process/entry/content_trial_requester.h"
#include "process/entry/crash_finder.h"
#include "process/entry/endpoint_end_check.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
class decision_log;
class endpoint_connection_pool;
struct call_environment;
struct crash_decision;
struct endpoint_record;
struct shared_load;

/// What an entry VM knows of content that crashes endpoints: finds crashes,
/// records them against the content of the requests under them, and shares the
/// records. Used on the thread of the entry process.
class content_fault_monitor {
 public:
  /// Receives an endpoint that refused connections but had not crashed.
  using reached_hook = std::function<void(const endpoint_record&)>;

  content_fault_monitor(asio::io_context& io,
                        endpoint_connection_pool& connections,
                        control_watcher& members, decision_log& log,
                        reached_hook on_reached);

  /// Sets what calls use of it.
  void Provide(call_environment& environment);
  content_breaker& contents() { return contents_; }
  /// Other entry VMs got responses from these endpoints.
  void OnLoads(const std::vector<shared_load>& loads, steady_time now);
  /// The record of an endpoint has changed.
  void OnRecord(const endpoint_record& changed);
  /// Starts what is due. Call on every tick.
  void Tick(steady_time now);
  /// Removes what has expired. Call now and then.
  void Expire(steady_time now) { contents_.Expire(now); }

 private:
  content_trial_requester::hooks TrialHooks();
  void OnDecision(const crash_decision& decision);

  control_watcher& members_;
  decision_log& log_;
  const reached_hook on_reached_;
  content_breaker contents_;
  content_fault_reporter reporter_;
  content_trial_requester trials_;
  endpoint_end_check end_check_;
  crash_finder crashes_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CONTENT_FAULT_MONITOR_H_
