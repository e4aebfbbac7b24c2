#include "process/claims/claim_group_clock.h"

#include "process/claims/claim_time.h"

namespace marjoramsill {

void claim_group_clock::Begin(claim_time table_time, steady_time now) {
  start_ = table_time;
  leadership_start_ = now;
}

claim_time claim_group_clock::Stamp(steady_time now) const {
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - leadership_start_);
  return claim_time(start_.value() +
                    static_cast<std::uint64_t>(elapsed.count()));
}

}  // namespace marjoramsill
