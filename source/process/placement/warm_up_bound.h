#ifndef MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_BOUND_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_BOUND_H_

namespace marjoramsill {

/// By how much requests to a cold endpoint may exceed its announced rate. In
/// any second it gets at most the rate times `overage`, plus `slack`. Without
/// settings, nothing above the rate is safe.
struct warm_up_bound {
  double overage = 1;
  double slack = 0;

  friend bool operator==(const warm_up_bound&, const warm_up_bound&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_BOUND_H_
