#ifndef MARJORAMSILL_PROCESS_BURN_COUNTER_VALUES_H_
#define MARJORAMSILL_PROCESS_BURN_COUNTER_VALUES_H_

#include <array>
#include <map>

#include "process/burn/burn_window.h"
#include "process/burn/counter_key.h"
#include "process/burn/series_point.h"
#include "process/burn/service_event.h"

namespace marjoramsill {

/// Event counts of one key.
struct counter_values {
  std::array<event_counts, kBurnWindowCount> windows{};
  std::array<series_point, kSeriesPoints> series{};
};

/// Event counts by window. Windows are relative to the time of the snapshot, so
/// that counts from VMs with different clocks can be added.
using counter_snapshot = std::map<counter_key, counter_values>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_COUNTER_VALUES_H_
