#ifndef MARJORAMSILL_TYPES_RANDOM_SOURCE_H_
#define MARJORAMSILL_TYPES_RANDOM_SOURCE_H_

#include <cstdint>
#include <functional>

namespace marjoramsill {

/// Returns 64 uniformly distributed bits. Tests and benchmarks use a generator
/// with a fixed seed.
using random_source = std::function<std::uint64_t()>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_RANDOM_SOURCE_H_
