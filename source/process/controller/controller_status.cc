#include "process/controller/controller_status.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "process/daemon/group_status_json.h"

namespace marjoramsill {
namespace {

using json = nlohmann::ordered_json;

json EndpointJson(const endpoint_record& record) {
  return {{"id", record.id.value()},
          {"failure_domain", record.domain.value()},
          {"state", EndpointPhaseText(record.phase)},
          {"address", record.address},
          {"capacity", record.slots}};
}

}  // namespace

std::string StatusJson(const controller_status& status) {
  json output;
  output["vm"] = status.vm.value();
  output["failure_domain"] = status.domain.value();
  // Submissions and reads succeed while the group has a leader.
  output["ready"] = status.group.leader.has_value();
  output["version"] = status.document.value();
  output["groups"] = json::array({GroupStatusJson("documents", status.group)});
  output["vms"] = json::array();
  for (const group_member& member : status.group.members) {
    const vm_id& vm = member.id.vm;
    const auto& reachable = status.reachable;
    const bool is_reachable =
        vm == status.vm ||
        std::find(reachable.begin(), reachable.end(), vm) != reachable.end();
    output["vms"].push_back({{"vm", vm.value()},
                             {"failure_domain", member.domain.value()},
                             {"reachable", is_reachable}});
  }
  output["evacuations"] = {{"change", status.evacuations.change},
                           {"failure_domains", json::array()}};
  for (const failure_domain_id& domain : status.evacuations.domains) {
    output["evacuations"]["failure_domains"].push_back(domain.value());
  }
  output["entry_vms"] = status.entry_count;
  output["pools"] = json::object();
  for (const endpoint_record& record : status.endpoints) {
    if (record.phase == endpoint_phase::kEnded) continue;
    output["pools"][record.pool.value()].push_back(EndpointJson(record));
  }
  // Endpoints choose their ids, so bytes that are not UTF-8 are replaced.
  return output.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace marjoramsill
