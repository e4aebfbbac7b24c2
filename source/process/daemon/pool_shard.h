#ifndef MARJORAMSILL_PROCESS_DAEMON_POOL_SHARD_H_
#define MARJORAMSILL_PROCESS_DAEMON_POOL_SHARD_H_

#include <memory>
#include <mutex>
#include <unordered_map>

#include "process/admission/admission_queue.h"
#include "process/burn/service_counters.h"
#include "process/choice/endpoint_chooser.h"
#include "request/retry_budget.h"

namespace marjoramsill {

class call_executor;

/// State of one model or service on this VM. The mutex guards all members. No
/// function outside the shard is called while it is held.
struct pool_shard {
  pool_shard(const admission_policy& policy,
             const endpoint_chooser_settings& choice, random_source random)
      : admission(policy, std::move(random)),
        chooser(choice, placement::Build({}, 0)) {}

  std::mutex mutex;
  admission_queue admission;
  endpoint_chooser chooser;
  retry_budget budget;
  service_counters counters;
  /// Calls that wait in the admission queue.
  std::unordered_map<request_handle, std::shared_ptr<call_executor>> waiting;
  /// Moving averages over ended calls; zero until the first call has ended.
  double service_us_per_cost = 0;
  double mean_cost = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_POOL_SHARD_H_
