#ifndef MARJORAMSILL_VERSION_SECTION_PARSER_H_
#define MARJORAMSILL_VERSION_SECTION_PARSER_H_

#include <string_view>
#include <variant>

#include "types/ids.h"
#include "types/result.h"
#include "version/endpoint_policy.h"
#include "version/pool_policy.h"
#include "version/rank_policy.h"
#include "version/section_error.h"
#include "version/team_policy.h"
#include "version/workspace_policy.h"

namespace marjoramsill {

/// Parsed content by section kind: `teams`, `ranks`, `workspaces`, `models` and
/// `services`, `endpoints`.
using parsed_section =
    std::variant<team_policies, rank_policies, workspace_policy, pool_policy,
                 endpoint_policies>;

/// Parses one section and checks it against the schema of its kind, see
/// docs/policy-document.md.
result<parsed_section, section_error> ParseSection(const section_name& section,
                                                   std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SECTION_PARSER_H_
