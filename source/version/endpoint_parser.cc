#include <string>

#include "version/kind_parsers.h"
#include "version/section_kind.h"
#include "version/text_check.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxServed = 32;

field_reader::text_rule RoleRule() {
  return {
      [](std::string_view text) { return ParseEndpointRole(text).has_value(); },
      "mixed, prefill, decode or standby"};
}

endpoint_policy ParseEndpoint(const yaml_node& map, const std::string& path,
                              parse_report& report) {
  field_reader reader(map, path, report);
  endpoint_policy policy;
  policy.role = ParseEndpointRole(reader.Text("role", RoleRule(), "mixed"))
                    .value_or(endpoint_role::kMixed);
  for (std::string& name : reader.Texts("serves", PolicyNameRule(), true)) {
    policy.serves.emplace_back(std::move(name));
  }
  if (policy.serves.size() > kMaxServed) {
    report.Fail(map.line, path + ".serves",
                std::to_string(policy.serves.size()) + " names",
                "at most " + std::to_string(kMaxServed) + " names");
  }
  reader.Finish();
  return policy;
}

}  // namespace

endpoint_policies ParseEndpoints(const yaml_node& root, parse_report& report) {
  endpoint_policies endpoints;
  for (std::size_t i = 0; i < root.keys.size(); ++i) {
    const std::string& name = root.keys[i];
    const yaml_node& item = root.items[i];
    if (!IsPolicyName(name)) {
      report.Fail(item.line, std::string(CutText(name, 60)),
                  "this endpoint name", std::string(kPolicyNameAllowed));
    } else if (item.type != yaml_node::kind::kMap) {
      report.Fail(item.line, name, DescribeFound(item), "a map");
    } else {
      endpoints[endpoint_id(name)] = ParseEndpoint(item, name, report);
    }
  }
  return endpoints;
}

}  // namespace marjoramsill
