#include <iostream>
#include <nlohmann/json.hpp>

#include "commands/command.h"
#include "commands/control_client.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;
using json = nlohmann::ordered_json;

void PrintEndpoint(const json& endpoint) {
  std::cout << "  " << endpoint.value("id", "") << " "
            << endpoint.value("failure_domain", "") << " "
            << endpoint.value("state", "");
  // Control processes do not know the load of endpoints.
  if (endpoint.contains("load")) {
    std::cout << " running " << endpoint["load"].value("running", 0)
              << " waiting " << endpoint["load"].value("waiting", 0) << " of";
  } else {
    std::cout << " places";
  }
  std::cout << " " << endpoint.value("capacity", 0) << "\n";
}

void PrintEvacuations(const json& evacuations) {
  const json domains = evacuations.value("failure_domains", json::array());
  std::cout << "Evacuated failure domains (change "
            << evacuations.value("change", 0) << "):";
  if (domains.empty()) std::cout << " none";
  for (const json& domain : domains) {
    std::cout << " " << domain.get<std::string>();
  }
  std::cout << "\n";
}

void PrintStatus(const json& status) {
  std::cout << "VM " << status.value("vm", "") << " in "
            << status.value("failure_domain", "") << ", "
            << (status.value("ready", false) ? "ready" : "not ready")
            << "\nDocument version in force " << status.value("version", 0)
            << "\n";
  for (const json& group : status["groups"]) {
    std::cout << "Group " << group.value("name", "") << ": "
              << group.value("role", "") << ", term " << group.value("term", 0)
              << ", leader " << group.value("leader", "none") << ", members";
    for (const json& member : group["members"]) {
      std::cout << " " << member.value("vm", "")
                << (member.value("voter", false) ? "" : " (standby)");
    }
    std::cout << "\n";
  }
  for (const json& vm : status["vms"]) {
    std::cout << "VM " << vm.value("vm", "") << ": "
              << (vm.value("reachable", false) ? "reachable" : "not reachable")
              << "\n";
  }
  if (status.contains("evacuations")) PrintEvacuations(status["evacuations"]);
  if (status.contains("entry_vms")) {
    std::cout << "Entry VMs " << status.value("entry_vms", 0) << "\n";
  }
  for (const auto& [pool, endpoints] : status["pools"].items()) {
    std::cout << "Pool " << pool << "\n";
    for (const json& endpoint : endpoints) PrintEndpoint(endpoint);
  }
}

exit_code Status(const options::variables_map& values) {
  control_request request;
  request.address = values["control"].as<std::string>();
  request.target = "/v1/status";
  const auto response = Fetch(request);
  if (!response) return exit_code::kUnavailable;
  if (response->status != 200) {
    std::cerr << "marjoramsill status: the VM responded with status "
              << response->status << "\n";
    return exit_code::kFailure;
  }
  if (values["json"].as<bool>()) {
    std::cout << response->body << "\n";
    return exit_code::kSuccess;
  }
  const json status = json::parse(response->body, nullptr, false);
  if (!status.is_object()) return exit_code::kFailure;
  PrintStatus(status);
  return exit_code::kSuccess;
}

}  // namespace

command StatusCommand() {
  command status;
  status.name = "status";
  status.summary = "Show members, leader, version in force and endpoints";
  status.options = [](options::options_description& description) {
    AddControlOption(description);
    description.add_options()("json", options::bool_switch(),
                              "print the response as JSON");
  };
  status.run = Status;
  return status;
}

}  // namespace marjoramsill
