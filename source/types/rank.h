#ifndef MARJORAMSILL_TYPES_RANK_H_
#define MARJORAMSILL_TYPES_RANK_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoramsill {

/// Scheduling rank of a request, most urgent first. The numeric value is used
/// as an array index.
enum class rank { kUrgent, kStandard, kBackground };

inline constexpr std::size_t kRankCount = 3;

/// Name of the rank in policies, headers and metrics, for example "urgent".
std::string_view RankName(rank value);
/// Inverse of RankName(); empty for any other text.
std::optional<rank> ParseRank(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_RANK_H_
