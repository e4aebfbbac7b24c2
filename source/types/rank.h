#ifndef MARJORAMSILL_TYPES_RANK_H_
#define MARJORAMSILL_TYPES_RANK_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoramsill {

/// Work rank, most urgent first. The numeric value is an array index.
enum class rank { kUrgent, kStandard, kBackground };

inline constexpr std::size_t kRankCount = 3;

std::string_view RankName(rank value);
std::optional<rank> ParseRank(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_RANK_H_
