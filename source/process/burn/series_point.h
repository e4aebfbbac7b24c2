#ifndef MARJORAMSILL_PROCESS_BURN_SERIES_POINT_H_
#define MARJORAMSILL_PROCESS_BURN_SERIES_POINT_H_

#include <cstdint>

namespace marjoramsill {

/// Numbers of good and bad requests in 5 minutes.
struct series_point {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
  friend bool operator==(const series_point&, const series_point&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_SERIES_POINT_H_
