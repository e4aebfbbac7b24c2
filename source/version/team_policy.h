#ifndef MARJORAMSILL_VERSION_TEAM_POLICY_H_
#define MARJORAMSILL_VERSION_TEAM_POLICY_H_

#include <string>
#include <string_view>
#include <vector>

#include "types/ids.h"
#include "version/signing_key.h"
#include "version/wall_time.h"

namespace marjoramsill {

/// A key of a team. It is accepted up to and including `not_after`.
struct team_key {
  public_key key;
  wall_time not_after;

  friend bool operator==(const team_key&, const team_key&) = default;
};

/// One team of `teams/root`: its keys (several during a key rotation) and the
/// sections that it owns, as names or as prefixes that end with `*`.
struct team_policy {
  team_id name;
  std::vector<team_key> keys;
  std::vector<std::string> owns;

  friend bool operator==(const team_policy&, const team_policy&) = default;
};

using team_policies = std::vector<team_policy>;

/// Null when no team has that name.
const team_policy* FindTeam(const team_policies& teams, const team_id& name);
/// Null when no team owns the section. No two teams can own the same section,
/// because the parser rejects patterns that overlap.
const team_policy* FindOwner(const team_policies& teams,
                             const section_name& section);
/// Whether any section name matches both patterns.
bool PatternsOverlap(std::string_view a, std::string_view b);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_TEAM_POLICY_H_
