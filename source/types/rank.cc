#include "types/rank.h"

#include <array>

namespace marjoramsill {
namespace {

constexpr std::array<std::string_view, kRankCount> kNames = {
    "urgent", "standard", "background"};

}  // namespace

std::string_view RankName(rank value) {
  return kNames.at(static_cast<std::size_t>(value));
}

std::optional<rank> ParseRank(std::string_view text) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == text) return static_cast<rank>(i);
  }
  return std::nullopt;
}

}  // namespace marjoramsill
