#ifndef MARJORAMSILL_PROCESS_DAEMON_BURN_GATHERING_H_
#define MARJORAMSILL_PROCESS_DAEMON_BURN_GATHERING_H_

#include <functional>

#include "process/burn/burn_report.h"
#include "process/burn/service_counters.h"

namespace marjoramsill {

class pool_shards;
struct operator_sources;

/// Counters of this VM, summed over its shards.
counter_snapshot OwnCounters(const pool_shards& shards);

/// Asks all VMs of the fleet for their counters and makes the report. VMs that
/// do not answer in time are named in it as missing. The hook runs once, on
/// the peer I/O thread.
void GatherBurnReport(const operator_sources& sources,
                      std::function<void(const burn_report&)> done);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_BURN_GATHERING_H_
