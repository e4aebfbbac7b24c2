#ifndef MARJORAMSILL_TESTS_CHOICE_ALLOCATION_COUNTER_H_
#define MARJORAMSILL_TESTS_CHOICE_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace marjoramsill {

/// Number of operator new calls in this process so far.
std::uint64_t AllocationCount();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_CHOICE_ALLOCATION_COUNTER_H_
