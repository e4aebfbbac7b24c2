#include "version/section_kind.h"

#include <algorithm>
#include <array>
#include <string>

namespace marjoramsill {
namespace {

constexpr std::array<std::string_view, 6> kKinds = {
    "teams", "ranks", "workspaces", "models", "endpoints", "services"};
constexpr std::size_t kLongestName = 64;

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

std::optional<section_kind> ParseKind(std::string_view text) {
  const auto it = std::find(kKinds.begin(), kKinds.end(), text);
  if (it == kKinds.end()) return std::nullopt;
  return static_cast<section_kind>(it - kKinds.begin());
}

bool IsValidIn(section_kind kind, std::string_view name) {
  if (kind == section_kind::kTeams) return name == "root";
  if (kind == section_kind::kRanks) return name == "fleet";
  return IsPolicyName(name);
}

}  // namespace

std::string_view SectionKindName(section_kind kind) {
  return kKinds.at(static_cast<std::size_t>(kind));
}

bool IsPolicyName(std::string_view name) {
  if (name.empty() || name.size() > kLongestName) return false;
  const char first = name.front();
  if (first == '.' || first == '_' || first == '-') return false;
  return std::all_of(name.begin(), name.end(), IsNameByte);
}

std::optional<section_kind> KindOf(const section_name& section) {
  const std::string_view text = section.value();
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto kind = ParseKind(text.substr(0, slash));
  if (!kind || !IsValidIn(*kind, text.substr(slash + 1))) return std::nullopt;
  return kind;
}

std::string_view NameInKind(const section_name& section) {
  const std::string_view text = section.value();
  return text.substr(text.find('/') + 1);
}

section_name WorkspaceSection(const workspace_id& id) {
  return section_name("workspaces/" + id.value());
}

bool IsOwnedPattern(std::string_view pattern) {
  const std::size_t slash = pattern.find('/');
  if (slash == std::string_view::npos) return false;
  const auto kind = ParseKind(pattern.substr(0, slash));
  if (!kind || *kind == section_kind::kTeams) return false;
  std::string_view name = pattern.substr(slash + 1);
  if (name.empty() || name.back() != '*') return IsValidIn(*kind, name);
  name.remove_suffix(1);
  return name.empty() || IsPolicyName(name);
}

}  // namespace marjoramsill
