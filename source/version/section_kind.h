#ifndef MARJORAMSILL_VERSION_SECTION_KIND_H_
#define MARJORAMSILL_VERSION_SECTION_KIND_H_

#include <optional>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

enum class section_kind {
  kTeams,
  kRanks,
  kWorkspaces,
  kModels,
  kEndpoints,
  kServices
};

std::string_view SectionKindName(section_kind kind);

/// The kind of a section name; nothing if the name is malformed. A section name
/// is `kind/name`, where `IsPolicyName(name)` is true. The only section of the
/// kind `teams` is `teams/root`, and the only one of `ranks` is `ranks/fleet`.
std::optional<section_kind> KindOf(const section_name& section);
/// The part after the slash, for example the workspace id.
std::string_view NameInKind(const section_name& section);

section_name WorkspaceSection(const workspace_id& id);

/// 1 to 64 bytes of a-z, 0-9, `.`, `_` and `-`, starting with a letter or
/// digit. Applies to workspaces, models, services, endpoints and teams.
bool IsPolicyName(std::string_view name);
inline constexpr std::string_view kPolicyNameAllowed =
    "1 to 64 of a-z 0-9 . _ -, first a letter or digit";

/// Whether a team can own the pattern: a section name, or a prefix of section
/// names that ends with `*`.
bool IsOwnedPattern(std::string_view pattern);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SECTION_KIND_H_
