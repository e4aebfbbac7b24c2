#ifndef MARJORAMSILL_VERSION_LINE_DIFFERENCE_H_
#define MARJORAMSILL_VERSION_LINE_DIFFERENCE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace marjoramsill {

inline constexpr std::size_t kMaxDifferenceBytes = 2048;

/// The lines that differ, as `-LINE: text` for lines of `before` and
/// `+LINE: text` for lines of `after`, cut to `kMaxDifferenceBytes`.
std::string LineDifference(std::string_view before, std::string_view after);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_LINE_DIFFERENCE_H_
