#include "version/section_parser.h"

#include "version/field_reader.h"
#include "version/kind_parsers.h"
#include "version/section_kind.h"
#include "version/text_check.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

parsed_section ParseKind(section_kind kind, const yaml_node& root,
                         parse_report& report) {
  switch (kind) {
    case section_kind::kTeams:
      return ParseTeams(root, report);
    case section_kind::kRanks:
      return ParseRanks(root, report);
    case section_kind::kWorkspaces:
      return ParseWorkspace(root, report);
    case section_kind::kModels:
      return ParseModel(root, report);
    case section_kind::kEndpoints:
      return ParseEndpoints(root, report);
    case section_kind::kServices:
      break;
  }
  return ParseService(root, report);
}

}  // namespace

result<parsed_section, section_error> ParseSection(const section_name& section,
                                                   std::string_view bytes) {
  const auto kind = KindOf(section);
  if (!kind) {
    return failure(section_error{
        section, 0, "",
        "section name \"" + std::string(CutText(section.value(), 80)) + '"',
        "teams/root, ranks/fleet, or workspaces/, models/, endpoints/ or "
        "services/ and a name"});
  }
  auto root = ReadYaml(section, bytes);
  if (!root) return failure(root.error());
  parse_report report(section);
  parsed_section parsed = ParseKind(*kind, root.value(), report);
  if (report.error()) return failure(*report.error());
  return parsed;
}

}  // namespace marjoramsill
