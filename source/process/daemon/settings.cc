#include "process/daemon/settings.h"

#include <algorithm>
#include <utility>

#include "version/field_reader.h"
#include "version/section_kind.h"
#include "version/signing_key.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

using text_rule = field_reader::text_rule;

// Enough for a fleet of about 3,000 VMs.
constexpr std::size_t kMaxSettingsBytes = 256UL * 1024;

const text_rule kName{IsPolicyName, std::string(kPolicyNameAllowed)};
const text_rule kAddress{
    [](std::string_view text) { return ParseSocketAddress(text).has_value(); },
    "IP:PORT or [IPv6]:PORT"};
const text_rule kPath{[](std::string_view text) { return !text.empty(); },
                      "a path"};
const text_rule kLogLevel{[](std::string_view text) {
                            return text == "debug" || text == "info" ||
                                   text == "warning" || text == "error";
                          },
                          "debug, info, warning or error"};
const text_rule kPublicKey{
    [](std::string_view text) { return PublicKeyFromText(text).has_value(); },
    "base64 of an Ed25519 public key (32 bytes)"};

const text_rule kControlRole{[](std::string_view text) {
                               return text == "voter" || text == "standby" ||
                                      text == "none";
                             },
                             "voter, standby or none"};

control_role ParseControlRole(std::string_view text) {
  if (text == "voter") return control_role::kVoter;
  return text == "standby" ? control_role::kStandby : control_role::kNone;
}

socket_address Address(field_reader& reader, const std::string& key) {
  return ParseSocketAddress(reader.Text(key, kAddress))
      .value_or(socket_address{});
}

std::optional<tls_settings> ParseTls(field_reader& parent,
                                     parse_report& report) {
  const yaml_node* map = parent.Map("tls", false);
  if (map == nullptr) return std::nullopt;
  field_reader reader(*map, "tls", report);
  tls_settings tls;
  tls.certificate_file = reader.Text("certificate", kPath);
  tls.key_file = reader.Text("key", kPath);
  tls.authority_file = reader.Text("authority", kPath);
  reader.Finish();
  return tls;
}

std::vector<fleet_vm> ParseFleet(field_reader& parent, parse_report& report) {
  std::vector<fleet_vm> fleet;
  const yaml_node* list = parent.Sequence("fleet", true);
  if (list == nullptr) return fleet;
  for (std::size_t i = 0; i < list->items.size(); ++i) {
    const yaml_node& item = list->items[i];
    const std::string path = "fleet[" + std::to_string(i) + "]";
    if (item.type != yaml_node::kind::kMap) {
      report.Fail(item.line, path, DescribeFound(item), "a map");
      continue;
    }
    field_reader reader(item, path, report);
    fleet_vm vm;
    vm.id = vm_id(reader.Text("vm", kName));
    vm.domain = failure_domain_id(reader.Text("failure_domain", kName));
    vm.peers = Address(reader, "peers");
    vm.control = ParseControlRole(
        reader.Text("control", kControlRole, std::string("none")));
    reader.Finish();
    const bool known =
        std::any_of(fleet.begin(), fleet.end(),
                    [&vm](const fleet_vm& other) { return other.id == vm.id; });
    if (known) {
      report.Fail(item.line, path + ".vm", vm.id.value(), "each VM once");
    }
    fleet.push_back(std::move(vm));
  }
  return fleet;
}

/// Checks that this VM has an entry in the fleet list that is consistent with
/// its own settings, because the other VMs read only that entry.
void CheckOwnEntry(const settings& parsed, int line, parse_report& report) {
  for (const fleet_vm& vm : parsed.fleet) {
    if (vm.id != parsed.vm) continue;
    if (vm.domain != parsed.failure_domain) {
      report.Fail(
          line, "failure_domain", parsed.failure_domain.value(),
          "the failure domain of this VM in fleet: " + vm.domain.value());
    }
    const bool is_member = vm.control != control_role::kNone;
    if (is_member && parsed.data_folder.empty()) {
      report.Fail(line, "data_folder", "nothing",
                  "a path, because this VM is a control member in fleet");
    }
    if (!is_member && !parsed.data_folder.empty()) {
      report.Fail(line, "data_folder", parsed.data_folder,
                  "none, because this VM is no control member in fleet");
    }
    return;
  }
  report.Fail(line, "fleet", "no entry for " + parsed.vm.value(),
              "an entry for each VM, including its own");
}

void ParseBounds(field_reader& reader, settings& parsed) {
  parsed.claim_groups = reader.Integer("claim_groups", 1, 64, 4);
  parsed.io_threads = reader.Integer("io_threads", 1, 64, 2);
  parsed.max_connections =
      reader.Integer("max_connections", 1, 1'000'000, 10'000);
  parsed.max_body_bytes = reader.Integer("max_body_bytes", 1'024,
                                         16UL * 1024 * 1024, 4UL * 1024 * 1024);
  parsed.memory_mb =
      static_cast<std::uint32_t>(reader.Integer("memory_mb", 0, 1'000'000, 0));
  parsed.drain_delay =
      std::chrono::milliseconds(reader.Integer("settle_ms", 0, 60'000, 2'000));
}

}  // namespace

const fleet_vm* settings::FindVm(const vm_id& id) const {
  const auto found =
      std::find_if(fleet.begin(), fleet.end(),
                   [&id](const fleet_vm& each) { return each.id == id; });
  return found == fleet.end() ? nullptr : &*found;
}

result<settings, section_error> ParseSettings(const std::string& file,
                                              std::string_view text) {
  const section_name name(file);
  auto root = ReadYaml(name, text, kMaxSettingsBytes);
  if (!root) return failure(std::move(root).assume_error());
  parse_report report(name);
  field_reader reader(root.assume_value(), "", report);
  settings parsed;
  parsed.vm = vm_id(reader.Text("vm", kName));
  parsed.failure_domain =
      failure_domain_id(reader.Text("failure_domain", kName));
  parsed.callers = Address(reader, "callers");
  parsed.control = Address(reader, "control");
  parsed.peers = Address(reader, "peers");
  parsed.data_folder = reader.Text("data_folder", kPath, std::string());
  parsed.root_key = reader.Text("root_key", kPublicKey);
  parsed.log_level = reader.Text("log_level", kLogLevel, std::string("info"));
  parsed.tls = ParseTls(reader, report);
  parsed.fleet = ParseFleet(reader, report);
  ParseBounds(reader, parsed);
  reader.Finish();
  if (!report.error()) {
    CheckOwnEntry(parsed, root.assume_value().line, report);
  }
  if (report.error()) return failure(*report.error());
  return parsed;
}

}  // namespace marjoramsill
