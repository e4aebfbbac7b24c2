#ifndef MARJORAMSILL_VERSION_KIND_PARSERS_H_
#define MARJORAMSILL_VERSION_KIND_PARSERS_H_

#include "version/endpoint_policy.h"
#include "version/field_reader.h"
#include "version/pool_policy.h"
#include "version/rank_policy.h"
#include "version/team_policy.h"
#include "version/workspace_policy.h"
#include "version/yaml_node.h"

namespace marjoramsill {

/// One parse function for each section kind. `root` must be a map. Errors are
/// added to the report; the result is valid only if there is no error.
team_policies ParseTeams(const yaml_node& root, parse_report& report);
rank_policies ParseRanks(const yaml_node& root, parse_report& report);
workspace_policy ParseWorkspace(const yaml_node& root, parse_report& report);
pool_policy ParseModel(const yaml_node& root, parse_report& report);
pool_policy ParseService(const yaml_node& root, parse_report& report);
endpoint_policies ParseEndpoints(const yaml_node& root, parse_report& report);

/// Text rule for names of workspaces, models, endpoints, teams and versions.
field_reader::text_rule PolicyNameRule();
field_reader::text_rule RankRule();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_KIND_PARSERS_H_
