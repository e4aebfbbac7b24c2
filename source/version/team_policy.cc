#include "version/team_policy.h"

namespace marjoramsill {
namespace {

struct pattern {
  std::string_view text;
  bool prefix;
};

pattern Split(std::string_view text) {
  if (text.empty() || text.back() != '*') return {text, false};
  text.remove_suffix(1);
  return {text, true};
}

bool Covers(const pattern& wide, std::string_view text) {
  if (!wide.prefix) return text == wide.text;
  return text.substr(0, wide.text.size()) == wide.text;
}

}  // namespace

bool PatternsOverlap(std::string_view a, std::string_view b) {
  const pattern first = Split(a);
  const pattern second = Split(b);
  return Covers(first, second.text) || Covers(second, first.text);
}

const team_policy* FindTeam(const team_policies& teams, const team_id& name) {
  for (const team_policy& team : teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

const team_policy* FindOwner(const team_policies& teams,
                             const section_name& section) {
  for (const team_policy& team : teams) {
    for (const std::string& owned : team.owns) {
      if (Covers(Split(owned), section.value())) return &team;
    }
  }
  return nullptr;
}

}  // namespace marjoramsill
