#ifndef MARJORAMSILL_REQUEST_ATTEMPT_RULES_H_
#define MARJORAMSILL_REQUEST_ATTEMPT_RULES_H_

#include <functional>

#include "request/attempt_facts.h"

namespace marjoramsill {

/// Decides what the call does after an attempt that did not succeed.
/// `take_retry` takes one retry from the budget and returns false if none is
/// left; it is called only if all other rules allow a retry.
attempt_step NextStep(const attempt_facts& facts,
                      const std::function<bool()>& take_retry);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ATTEMPT_RULES_H_
