#include "process/daemon/group_status_json.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "process/daemon/group_runner.h"

namespace marjoramsill {
namespace {

std::string_view RoleText(raft_role role) {
  return role == raft_role::kLeader     ? "leader"
         : role == raft_role::kFollower ? "follower"
                                        : "candidate";
}

}  // namespace

nlohmann::ordered_json GroupStatusJson(const std::string& name,
                                       const group_status& status) {
  nlohmann::ordered_json group;
  group["name"] = name;
  group["role"] = RoleText(status.role);
  group["term"] = status.term.value();
  group["applied"] = status.applied.value();
  if (status.leader) group["leader"] = status.leader->vm.value();
  group["members"] = nlohmann::ordered_json::array();
  for (const group_member& member : status.members) {
    group["members"].push_back({{"vm", member.id.vm.value()},
                                {"failure_domain", member.domain.value()},
                                {"voter", member.voter}});
  }
  return group;
}

}  // namespace marjoramsill
