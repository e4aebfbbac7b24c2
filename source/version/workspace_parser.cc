#include <string>

#include "version/kind_parsers.h"
#include "version/section_kind.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kHighestTokenRate = 100'000'000;
constexpr std::uint64_t kHighestConcurrency = 1'000'000;
constexpr std::uint64_t kHighestWeight = 1000;

std::uint8_t RankBits(const std::vector<std::string>& names) {
  std::uint8_t bits = 0;
  for (const std::string& name : names) {
    if (const auto value = ParseRank(name)) {
      bits |= static_cast<std::uint8_t>(1U << static_cast<unsigned>(*value));
    }
  }
  return bits;
}

// The default rank is `standard`, or the most urgent allowed rank if the
// workspace may not use `standard`.
rank FallbackRank(const workspace_policy& policy) {
  if (policy.Allows(rank::kStandard)) return rank::kStandard;
  return policy.Allows(rank::kUrgent) ? rank::kUrgent : rank::kBackground;
}

}  // namespace

field_reader::text_rule PolicyNameRule() {
  return {IsPolicyName, std::string(kPolicyNameAllowed)};
}

field_reader::text_rule RankRule() {
  return {[](std::string_view text) { return ParseRank(text).has_value(); },
          "urgent, standard or background"};
}

workspace_policy ParseWorkspace(const yaml_node& root, parse_report& report) {
  field_reader reader(root, "", report);
  workspace_policy policy;
  policy.tokens_per_second = static_cast<std::uint32_t>(
      reader.Integer("tokens_per_second", 1, kHighestTokenRate));
  policy.concurrent_requests = static_cast<std::uint32_t>(
      reader.Integer("concurrent_requests", 1, kHighestConcurrency));
  policy.weight = static_cast<std::uint16_t>(
      reader.Integer("weight", 1, kHighestWeight, 1));
  const yaml_node* ranks = reader.Sequence("ranks", false);
  if (ranks != nullptr) {
    policy.allowed_ranks = RankBits(reader.Texts("ranks", RankRule(), false));
    if (ranks->items.empty()) {
      report.Fail(ranks->line, "ranks", "an empty list", "at least one rank");
    }
  }
  const auto fallback = std::string(RankName(FallbackRank(policy)));
  const std::string name = reader.Text("default_rank", RankRule(), fallback);
  const rank chosen = ParseRank(name).value_or(rank::kStandard);
  if (!policy.Allows(chosen)) {
    report.Fail(root.line, "default_rank", '"' + name + '"',
                "one of the workspace's ranks");
  }
  policy.default_rank_index = static_cast<std::uint8_t>(chosen);
  reader.Finish();
  return policy;
}

}  // namespace marjoramsill
