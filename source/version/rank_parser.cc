#include <algorithm>
#include <string>

#include "version/kind_parsers.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kLongestTargetMs = 600'000;
constexpr std::uint64_t kLongestDeadlineMs = 3'600'000;

std::chrono::milliseconds Milliseconds(field_reader& reader,
                                       const std::string& key,
                                       std::uint64_t high) {
  return std::chrono::milliseconds(reader.Integer(key, 1, high));
}

rank_policy ParseRankFields(const yaml_node& map, const std::string& name,
                            parse_report& report) {
  field_reader reader(map, name, report);
  rank_policy policy;
  policy.first_token_target =
      Milliseconds(reader, "first_token_ms", kLongestTargetMs);
  policy.between_tokens_target =
      Milliseconds(reader, "between_tokens_ms", kLongestTargetMs);
  policy.default_deadline =
      Milliseconds(reader, "default_deadline_ms", kLongestDeadlineMs);
  policy.maximum_deadline =
      Milliseconds(reader, "maximum_deadline_ms", kLongestDeadlineMs);
  policy.kept_share = reader.Number("kept_share", 0, 1);
  policy.objective = reader.Number("objective", 0, 0.99999);
  if (policy.default_deadline > policy.maximum_deadline) {
    report.Fail(map.line, reader.PathOf("default_deadline_ms"),
                "more than maximum_deadline_ms", "at most maximum_deadline_ms");
  }
  reader.Finish();
  return policy;
}

}  // namespace

rank_policies ParseRanks(const yaml_node& root, parse_report& report) {
  field_reader reader(root, "", report);
  rank_policies ranks;
  double kept_sum = 0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const std::string name(RankName(static_cast<rank>(i)));
    const yaml_node* map = reader.Map(name, true);
    if (map == nullptr) continue;
    ranks[i] = ParseRankFields(*map, name, report);
    kept_sum += ranks[i].kept_share;
  }
  // Decimal shares such as 0.1 and 0.7 are not exact in binary, so a sum of 1
  // can be slightly larger.
  constexpr double kRounding = 1e-9;
  if (kept_sum > 1 + kRounding) {
    report.Fail(root.line, "kept_share", "a sum of " + std::to_string(kept_sum),
                "a sum over all ranks of at most 1");
  }
  reader.Finish();
  return ranks;
}

}  // namespace marjoramsill
