#ifndef MARJORAMSILL_PROCESS_PLACEMENT_DURATION_BASELINE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_DURATION_BASELINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "process/placement/work_sample.h"

namespace marjoramsill {

/// The usual duration of work in a pool, by kind and route, as one entry VM
/// measures it.
class duration_baseline {
 public:
  /// `log_ratio`: logarithm of a duration divided by the one expected from the
  /// work sent. Returns its difference from the usual one, or nothing while too
  /// few are known.
  std::optional<double> Compare(work_kind kind, std::string_view route,
                                double log_ratio);

 private:
  struct mean {
    double value = 0;
    std::uint32_t count = 0;
  };

  std::map<std::pair<work_kind, std::uint64_t>, mean> means_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_DURATION_BASELINE_H_
