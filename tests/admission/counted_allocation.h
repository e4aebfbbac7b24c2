#ifndef MARJORAMSILL_TESTS_ADMISSION_COUNTED_ALLOCATION_H_
#define MARJORAMSILL_TESTS_ADMISSION_COUNTED_ALLOCATION_H_

#include <cstddef>

/// Calls of operator new in this process. The operators are in a file of their
/// own, so that they are not inlined into code that pairs them.
extern std::size_t allocations;

#endif  // MARJORAMSILL_TESTS_ADMISSION_COUNTED_ALLOCATION_H_
