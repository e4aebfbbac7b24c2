#include <string>

#include "version/kind_parsers.h"
#include "version/section_kind.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxTeams = 100;
constexpr std::size_t kMaxKeys = 8;

field_reader::text_rule KeyRule() {
  return {
      [](std::string_view text) { return PublicKeyFromText(text).has_value(); },
      "base64 of the 32 bytes of an Ed25519 public key"};
}

field_reader::text_rule TimeRule() {
  return {[](std::string_view text) { return ParseWallTime(text).has_value(); },
          "a time such as 2027-12-31T00:00:00Z"};
}

field_reader::text_rule PatternRule() {
  return {IsOwnedPattern,
          "kind/name or kind/prefix*, of a kind other than teams"};
}

team_key ParseKey(const yaml_node& map, parse_report& report) {
  field_reader reader(map, "teams.keys", report);
  team_key key;
  key.key = PublicKeyFromText(reader.Text("public_key", KeyRule()))
                .value_or(public_key{});
  key.not_after =
      ParseWallTime(reader.Text("not_after", TimeRule())).value_or(wall_time());
  reader.Finish();
  return key;
}

team_policy ParseTeam(const yaml_node& map, parse_report& report) {
  field_reader reader(map, "teams", report);
  team_policy team;
  team.name = team_id(reader.Text("name", PolicyNameRule()));
  if (team.name.value() == "root") {
    report.Fail(map.line, "teams.name", "\"root\"",
                "a name other than root, which stands for the root key");
  }
  const yaml_node* keys = reader.Sequence("keys", true);
  if (keys != nullptr &&
      (keys->items.empty() || keys->items.size() > kMaxKeys)) {
    report.Fail(keys->line, "teams.keys",
                std::to_string(keys->items.size()) + " keys",
                "1 to " + std::to_string(kMaxKeys) + " keys");
  } else if (keys != nullptr) {
    for (const yaml_node& item : keys->items) {
      if (item.type == yaml_node::kind::kMap) {
        team.keys.push_back(ParseKey(item, report));
      } else {
        report.Fail(item.line, "teams.keys", DescribeFound(item), "a map");
      }
    }
  }
  team.owns = reader.Texts("owns", PatternRule(), true);
  reader.Finish();
  return team;
}

// With one key in two teams, a submission could be attributed to either team.
bool HaveCommonKey(const team_policy& a, const team_policy& b) {
  for (const team_key& first : a.keys) {
    for (const team_key& second : b.keys) {
      if (first.key == second.key) return true;
    }
  }
  return false;
}

const std::string* FindOverlap(const team_policy& a, const team_policy& b) {
  for (const std::string& first : a.owns) {
    for (const std::string& second : b.owns) {
      if (PatternsOverlap(first, second)) return &second;
    }
  }
  return nullptr;
}

void CheckConflicts(const team_policies& earlier, const team_policy& team,
                    int line, parse_report& report) {
  for (const team_policy& other : earlier) {
    if (other.name == team.name) {
      report.Fail(line, "teams.name", '"' + team.name.value() + "\" twice",
                  "each team once");
    }
    if (HaveCommonKey(other, team)) {
      report.Fail(line, "teams.keys", "a key of team " + other.name.value(),
                  "a key of one team");
    }
    if (const std::string* shared = FindOverlap(other, team)) {
      report.Fail(line, "teams.owns",
                  *shared + ", which team " + other.name.value() + " owns",
                  "sections of one team only");
    }
  }
}

}  // namespace

team_policies ParseTeams(const yaml_node& root, parse_report& report) {
  field_reader reader(root, "", report);
  team_policies teams;
  const yaml_node* list = reader.Sequence("teams", true);
  if (list != nullptr && list->items.size() > kMaxTeams) {
    report.Fail(list->line, "teams",
                std::to_string(list->items.size()) + " teams",
                "at most " + std::to_string(kMaxTeams) + " teams");
  } else if (list != nullptr) {
    for (const yaml_node& item : list->items) {
      if (item.type != yaml_node::kind::kMap) {
        report.Fail(item.line, "teams", DescribeFound(item), "a map");
        continue;
      }
      team_policy team = ParseTeam(item, report);
      CheckConflicts(teams, team, item.line, report);
      teams.push_back(std::move(team));
    }
  }
  reader.Finish();
  return teams;
}

}  // namespace marjoramsill
