#include "process/controller/node_settings.h"

#include <utility>

#include "version/field_reader.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

using text_rule = field_reader::text_rule;

constexpr std::size_t kMaxSettingsBytes = 64UL * 1024;
constexpr std::uint64_t kMaxMillis = 3'600'000;
constexpr std::uint64_t kMaxLosses = 4;
constexpr double kMaxRatio = 10;
constexpr double kMaxAllowance = 1'000'000;
constexpr double kMaxMbps = 1'000'000;
constexpr std::uint64_t kMaxMemoryMb = 1'000'000;

const text_rule kText{[](std::string_view text) { return !text.empty(); },
                      "a text that is not empty"};
const text_rule kAnyText{[](std::string_view /*text*/) { return true; },
                         "a text"};
const text_rule kOptionalIp{
    [](std::string_view text) {
      return text.empty() ||
             ParseSocketAddress(std::string(text) + ":1").has_value();
    },
    "an IP or nothing"};
const text_rule kAddress{
    [](std::string_view text) { return ParseSocketAddress(text).has_value(); },
    "IP:PORT or [IPv6]:PORT"};
const text_rule kOptionalAddress{[](std::string_view text) {
                                   return text.empty() ||
                                          ParseSocketAddress(text).has_value();
                                 },
                                 "IP:PORT, [IPv6]:PORT or nothing"};

std::optional<socket_address> OptionalAddress(field_reader& reader,
                                              const std::string& key) {
  return ParseSocketAddress(reader.Text(key, kOptionalAddress, std::string()));
}

std::chrono::milliseconds Millis(field_reader& reader, const std::string& key,
                                 std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(reader.Integer(
      key, 1, kMaxMillis, static_cast<std::uint64_t>(fallback.count())));
}

void ReadRetries(field_reader& reader, retry_settings& retries) {
  retries.ratio = reader.Number("retry_ratio", 0, kMaxRatio, retries.ratio);
  retries.window = Millis(reader, "retry_window_ms", retries.window);
  retries.allowance =
      reader.Number("retry_allowance", 0, kMaxAllowance, retries.allowance);
}

}  // namespace

result<node_settings, section_error> ParseNodeSettings(const std::string& file,
                                                       std::string_view text) {
  const section_name name(file);
  auto root = ReadYaml(name, text, kMaxSettingsBytes);
  if (!root) return failure(std::move(root).assume_error());
  parse_report report(name);
  field_reader reader(root.assume_value(), "", report);
  node_settings parsed;
  parsed.failure_domain =
      failure_domain_id(reader.Text("failure_domain", kText));
  parsed.peers = ParseSocketAddress(reader.Text("peers", kAddress))
                     .value_or(socket_address{});
  parsed.vm = vm_id(FormatSocketAddress(parsed.peers));
  parsed.peers_bind = OptionalAddress(reader, "peers_bind");
  parsed.callers = OptionalAddress(reader, "callers");
  parsed.readiness = OptionalAddress(reader, "readiness");
  parsed.control = OptionalAddress(reader, "control");
  parsed.relay = OptionalAddress(reader, "relay")
                     .value_or(socket_address{
                         parsed.peers.ip,
                         static_cast<std::uint16_t>(parsed.peers.port + 1)});
  parsed.endpoint_source =
      reader.Text("endpoint_source", kOptionalIp, std::string());
  parsed.metrics = OptionalAddress(reader, "metrics");
  for (const std::string& seed : reader.Texts("seeds", kAddress, false)) {
    if (auto address = ParseSocketAddress(seed)) {
      parsed.seeds.push_back(std::move(*address));
    }
  }
  parsed.data_folder = reader.Text("data_folder", kAnyText, std::string());
  parsed.founds_group = reader.Boolean("founds_group", false);
  parsed.tolerated_losses = static_cast<std::uint32_t>(reader.Integer(
      "tolerated_losses", 0, kMaxLosses, parsed.tolerated_losses));
  parsed.grace = Millis(reader, "grace_ms", parsed.grace);
  parsed.heartbeat_interval =
      Millis(reader, "heartbeat_interval_ms", parsed.heartbeat_interval);
  parsed.document_apply =
      Millis(reader, "document_apply_ms", parsed.document_apply);
  parsed.link_mbps = reader.Number("link_mbps", 0, kMaxMbps, 0);
  parsed.memory_mb = static_cast<std::uint32_t>(
      reader.Integer("memory_mb", 0, kMaxMemoryMb, 0));
  parsed.learn_endpoint_speed = reader.Boolean("learn_endpoint_speed", false);
  ReadRetries(reader, parsed.retries);
  parsed.warm_up.overage =
      reader.Number("cold_overage", 1, kMaxRatio, parsed.warm_up.overage);
  parsed.warm_up.slack =
      reader.Number("cold_slack", 0, kMaxAllowance, parsed.warm_up.slack);
  reader.Finish();
  if (report.error()) return failure(*report.error());
  return parsed;
}

std::vector<vm_id> SeedVms(const node_settings& settings) {
  std::vector<vm_id> vms;
  for (socket_address seed : settings.seeds) {
    seed.port = settings.peers.port;
    vms.emplace_back(FormatSocketAddress(seed));
  }
  return vms;
}

}  // namespace marjoramsill
