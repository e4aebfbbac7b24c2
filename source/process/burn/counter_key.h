#ifndef MARJORAMSILL_PROCESS_BURN_COUNTER_KEY_H_
#define MARJORAMSILL_PROCESS_BURN_COUNTER_KEY_H_

#include <tuple>

#include "process/burn/size_class.h"
#include "types/ids.h"
#include "types/rank.h"

namespace marjoramsill {

/// Dimensions by which events are counted.
struct counter_key {
  marjoramsill::rank rank = rank::kUrgent;
  failure_domain_id failure_domain;
  size_class size = size_class::kSmall;
  friend bool operator<(const counter_key& left, const counter_key& right) {
    return std::tie(left.rank, left.failure_domain, left.size) <
           std::tie(right.rank, right.failure_domain, right.size);
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_COUNTER_KEY_H_
