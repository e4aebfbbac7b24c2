#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_CAPACITY_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_CAPACITY_H_

#include <cstdint>

#include "types/units.h"

namespace marjoramsill {

/// The share of the endpoints' capacity that this process may use.
struct admission_capacity {
  /// Maximum total cost of admitted, unfinished requests. A request is admitted
  /// while the sum is below this value, so the sum exceeds it by at most one
  /// request.
  cost_units cost;
  /// Maximum number of admitted, unfinished requests.
  std::uint32_t concurrency = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_CAPACITY_H_
