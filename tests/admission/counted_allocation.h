#ifndef MARJORAMSILL_TESTS_ADMISSION_COUNTED_ALLOCATION_H_
#define MARJORAMSILL_TESTS_ADMISSION_COUNTED_ALLOCATION_H_

#include <cstddef>

/// Number of operator new calls in this process. The operators are defined in a
/// separate file, so that they are not inlined into code that allocates and
/// frees.
extern std::size_t allocations;

#endif  // MARJORAMSILL_TESTS_ADMISSION_COUNTED_ALLOCATION_H_
