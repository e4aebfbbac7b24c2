#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "version/kind_parsers.h"
#include "version/section_kind.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxRules = 200;
constexpr std::size_t kMaxVersions = 16;
constexpr std::size_t kLongestPath = 256;
constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

field_reader::text_rule MethodRule() {
  return {[](std::string_view text) {
            return std::find(kMethods.begin(), kMethods.end(), text) !=
                   kMethods.end();
          },
          "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS"};
}

bool IsRulePath(std::string_view path) {
  if (path.empty() || path.front() != '/' || path.size() > kLongestPath) {
    return false;
  }
  const std::size_t star = path.find('*');
  if (star != std::string_view::npos && star + 1 != path.size()) return false;
  return path.find_first_of("%?#\\ ") == std::string_view::npos &&
         path.find("//") == std::string_view::npos &&
         path.find("/.") == std::string_view::npos;
}

field_reader::text_rule PathRule() {
  return {IsRulePath,
          "a path that starts with / and has * only at its end, without "
          "query, encoding, empty or dot segments"};
}

bool CheckLength(const yaml_node& list, std::size_t max_count,
                 const std::string& field, parse_report& report) {
  if (list.items.size() <= max_count) return true;
  report.Fail(list.line, field, std::to_string(list.items.size()) + " entries",
              "at most " + std::to_string(max_count) + " entries");
  return false;
}

bool CheckMap(const yaml_node& item, const std::string& field,
              parse_report& report) {
  if (item.type == yaml_node::kind::kMap) return true;
  report.Fail(item.line, field, DescribeFound(item), "a map");
  return false;
}

void ParseCommon(field_reader& reader, pool_policy& policy) {
  policy.load_bound = reader.Number("load_bound", 1.05, 10, policy.load_bound);
  policy.retry_budget =
      reader.Number("retry_budget", 0, 0.10, policy.retry_budget);
}

void ParseVersions(const yaml_node& list, pool_policy& policy,
                   parse_report& report) {
  if (!CheckLength(list, kMaxVersions, "versions", report)) return;
  double sum = 0;
  for (const yaml_node& item : list.items) {
    if (!CheckMap(item, "versions", report)) return;
    field_reader reader(item, "versions", report);
    model_version version;
    version.name = reader.Text("name", PolicyNameRule());
    version.share = reader.Number("share", 0, 1, 1);
    reader.Finish();
    for (const model_version& other : policy.versions) {
      if (other.name != version.name) continue;
      report.Fail(item.line, "versions.name", '"' + version.name + "\" twice",
                  "each version once");
    }
    sum += version.share;
    policy.versions.push_back(std::move(version));
  }
  constexpr double kRounding = 1e-6;
  if (std::abs(sum - 1) > kRounding) {
    report.Fail(list.line, "versions.share", "a sum of " + std::to_string(sum),
                "a sum of 1");
  }
}

void ParseCalls(const yaml_node& list, pool_policy& policy,
                parse_report& report) {
  if (!CheckLength(list, kMaxRules, "calls", report)) return;
  for (const yaml_node& item : list.items) {
    if (!CheckMap(item, "calls", report)) return;
    field_reader reader(item, "calls", report);
    call_rule rule;
    rule.method = reader.Text("method", MethodRule());
    rule.path = reader.Text("path", PathRule());
    rule.repeatable = reader.Boolean("repeatable", false);
    reader.Finish();
    policy.calls.push_back(std::move(rule));
  }
}

}  // namespace

pool_policy ParseModel(const yaml_node& root, parse_report& report) {
  field_reader reader(root, "", report);
  pool_policy policy;
  ParseCommon(reader, policy);
  const std::string fencing = reader.Text(
      "fencing",
      {[](std::string_view t) { return t == "checked" || t == "ignored"; },
       "checked or ignored"},
      "ignored");
  policy.engines_check_fencing = fencing == "checked";
  const yaml_node* versions = reader.Sequence("versions", true);
  if (versions != nullptr) ParseVersions(*versions, policy, report);
  reader.Finish();
  return policy;
}

pool_policy ParseService(const yaml_node& root, parse_report& report) {
  constexpr std::uint64_t kShortestRetentionS = 60;
  constexpr std::uint64_t kLongestRetentionS = 2'592'000;
  field_reader reader(root, "", report);
  pool_policy policy;
  policy.is_service = true;
  ParseCommon(reader, policy);
  policy.claim_retention = std::chrono::seconds(reader.Integer(
      "claim_retention_s", kShortestRetentionS, kLongestRetentionS,
      static_cast<std::uint64_t>(policy.claim_retention.count())));
  const yaml_node* calls = reader.Sequence("calls", false);
  if (calls != nullptr) ParseCalls(*calls, policy, report);
  reader.Finish();
  return policy;
}

}  // namespace marjoramsill
