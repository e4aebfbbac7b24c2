#ifndef MARJORAMSILL_VERSION_LINE_DIFFERENCE_H_
#define MARJORAMSILL_VERSION_LINE_DIFFERENCE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace marjoramsill {

inline constexpr std::size_t kMostDifferenceBytes = 2048;

/// Lines that differ: `-LINE: text` of `before` and `+LINE: text` of `after`,
/// each with its line number, cut to `kMostDifferenceBytes`.
std::string LineDifference(std::string_view before, std::string_view after);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_LINE_DIFFERENCE_H_
