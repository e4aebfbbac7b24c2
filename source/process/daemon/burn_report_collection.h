#ifndef MARJORAMSILL_PROCESS_DAEMON_BURN_REPORT_COLLECTION_H_
#define MARJORAMSILL_PROCESS_DAEMON_BURN_REPORT_COLLECTION_H_

#include <functional>

#include "process/burn/burn_report.h"
#include "process/burn/service_counters.h"

namespace marjoramsill {

class pool_shards;
struct operator_sources;

/// Counters of this VM, summed over its shards.
counter_snapshot LocalCounters(const pool_shards& shards);

/// Requests the counters of all VMs of the fleet and builds the report, which
/// lists VMs without a timely response as missing. `done` is called once, on
/// the peer I/O thread, or at once if this VM is the only one.
void CollectBurnReport(const operator_sources& sources,
                       std::function<void(const burn_report&)> done);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_BURN_REPORT_COLLECTION_H_
