#include "process/claims/claim_group_clock.h"

#include "process/claims/claim_time.h"

namespace marjoramsill {

void claim_group_clock::Begin(claim_time table_time, steady_time now) {
  start_ = table_time;
  began_ = now;
}

claim_time claim_group_clock::Stamp(steady_time now) const {
  const auto led =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - began_);
  return claim_time(start_.value() + static_cast<std::uint64_t>(led.count()));
}

}  // namespace marjoramsill
