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
  json shown;
  shown["vm"] = status.vm.value();
  shown["failure_domain"] = status.domain.value();
  // It takes submissions and answers reads while the group has a leader.
  shown["ready"] = status.group.leader.has_value();
  shown["version"] = status.document.value();
  shown["groups"] = json::array({GroupStatusJson("documents", status.group)});
  shown["vms"] = json::array();
  for (const group_member& member : status.group.members) {
    const vm_id& vm = member.id.vm;
    const auto& reachable = status.reachable;
    const bool answers =
        vm == status.vm ||
        std::find(reachable.begin(), reachable.end(), vm) != reachable.end();
    shown["vms"].push_back({{"vm", vm.value()},
                            {"failure_domain", member.domain.value()},
                            {"reachable", answers}});
  }
  shown["entry_vms"] = status.entry_count;
  shown["pools"] = json::object();
  for (const endpoint_record& record : status.endpoints) {
    if (record.phase == endpoint_phase::kGone) continue;
    shown["pools"][record.pool.value()].push_back(EndpointJson(record));
  }
  // Ids come from endpoints; bytes that are no UTF-8 are replaced.
  return shown.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace marjoramsill
