#include "soak_fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace marjoramsill::soak {
namespace {

constexpr int kDomains = 3;

// Port offsets from soak_settings::port.
constexpr int kPeers = 0;
constexpr int kPeersBind = 1;
constexpr int kCallers = 2;
constexpr int kReadiness = 3;
constexpr int kControl = 4;
constexpr int kMetrics = 5;
constexpr int kEndpoint = 6;
constexpr int kEndpointBind = 7;
constexpr int kRelay = kRelayPort;

std::string DomainOf(int index) {
  return "d" + std::to_string(index % kDomains);
}

}  // namespace

soak_fleet::soak_fleet(asio::io_context& io, soak_settings settings,
                       run_ledger& ledger)
    : io_(io), settings_(std::move(settings)), ledger_(ledger) {
  const int nodes = settings_.control_processes + settings_.entry_processes;
  for (int i = 0; i < nodes; ++i) AddNode(i, i < settings_.control_processes);
  for (int i = 0; i < settings_.endpoints; ++i) AddEndpoint(i);
}

soak_fleet::~soak_fleet() = default;

/// Each VM has its own loopback address, since all VMs use the same ports.
std::string soak_fleet::PeerIp(int index) const {
  return "127.0.1." + std::to_string(index + 1);
}

void soak_fleet::AddNode(int index, bool is_control) {
  auto node = std::make_unique<soak_node>();
  const auto port = [this](int offset) {
    return static_cast<std::uint16_t>(settings_.port + offset);
  };
  node->name = (is_control ? "control-" : "entry-") + std::to_string(index);
  node->is_control = is_control;
  node->settings_file = settings_.folder + "/" + node->name + ".yaml";
  node->data_folder = settings_.folder + "/" + node->name + ".data";
  node->ip = PeerIp(index);
  node->callers = {PeerIp(index), port(kCallers)};
  node->control = {PeerIp(index), port(kControl)};
  node->proxy = std::make_unique<link_proxy>(
      io_, socket_address{PeerIp(index), port(kPeers)},
      socket_address{PeerIp(index), port(kPeersBind)});
  WriteSettings(*node, index, true);
  nodes_.push_back(std::move(node));
}

void soak_fleet::WriteSettings(const soak_node& node, int index,
                               bool founds_group) const {
  const std::string ip = PeerIp(index);
  const auto address = [&](int offset) {
    return "\"" + ip + ":" + std::to_string(settings_.port + offset) + "\"\n";
  };
  std::ofstream file(node.settings_file);
  file << "failure_domain: " << DomainOf(index) << "\n"
       << "peers: " << address(kPeers) << "peers_bind: " << address(kPeersBind)
       << "metrics: " << address(kMetrics);
  if (node.is_control) {
    file << "control: " << address(kControl) << "data_folder: \""
         << node.data_folder << "\"\n"
         << "founds_group: " << (founds_group ? "true" : "false") << "\n";
  } else {
    file << "callers: " << address(kCallers)
         << "readiness: " << address(kReadiness) << "relay: " << address(kRelay)
         << "endpoint_source: " << ip << "\n";
  }
  const int memory_mb =
      node.is_control ? settings_.control_memory_mb : settings_.entry_memory_mb;
  if (memory_mb > 0) file << "memory_mb: " << memory_mb << "\n";
  file << "seeds:\n";
  for (int i = 0; i < settings_.control_processes; ++i) {
    file << "  - \"" << PeerIp(i) << ":" << settings_.port + kControl << "\"\n";
  }
  file << "heartbeat_interval_ms: 300\ngrace_ms: " << settings_.grace.count()
       << "\nlink_mbps: 0.1\n";
  if (settings_.cold_per_s) file << "cold_overage: 1.5\ncold_slack: 5\n";
}

void soak_fleet::AddEndpoint(int index) {
  const std::string ip = "127.0.2." + std::to_string(index + 1);
  const socket_address announced{
      ip, static_cast<std::uint16_t>(settings_.port + kEndpoint)};
  const socket_address bound{
      ip, static_cast<std::uint16_t>(settings_.port + kEndpointBind)};
  endpoint_links_.push_back(
      std::make_unique<link_proxy>(io_, announced, bound));
  fake_endpoint_settings settings;
  settings.id = "i-" + std::to_string(index);
  settings.pool = "svc";
  settings.listen = bound;
  settings.announced = FormatSocketAddress(
      settings_.reaches_endpoints_directly ? bound : announced);
  settings.on_running = [link = endpoint_links_.back().get()](bool running) {
    link->Listen(running);
  };
  endpoint_links_.back()->OnFault(
      [this, id = settings.id] { ledger_.pauses().StartEndpoint(id); });
  settings.has_sound_link =
      [link = endpoint_links_.back().get()](const std::string& vm) {
        return link->IsSoundFor(vm);
      };
  settings.service_time = settings_.service_time;
  settings.reports_load = settings_.reports_load;
  settings.slots = settings_.slots;
  settings.most_running = settings_.most_running;
  settings.event_interval = settings_.event_interval;
  settings.silence = settings_.silence;
  settings.renews_id = settings_.renews_ids && index % 2 == 1;
  settings.domain = DomainOf(index);
  settings.software = settings_.software[static_cast<std::size_t>(index) %
                                         settings_.software.size()];
  settings.control = [this] {
    next_control_ = (next_control_ + 1) %
                    static_cast<std::size_t>(settings_.control_processes);
    return nodes_[next_control_]->control;
  };
  endpoints_.push_back(std::make_unique<fake_endpoint>(io_, settings, ledger_));
}

void soak_fleet::Start() {
  for (const auto& node : nodes_) StartNode(*node);
  for (const auto& endpoint : endpoints_) endpoint->Start();
}

void soak_fleet::StartNode(soak_node& node) {
  ledger_.pauses().ExcuseVm(node.ip);
  node.is_end_expected = false;
  node.is_paused = false;
  node.process.Start(
      {settings_.binary, node.is_control ? "controller" : "entry", "--config",
       node.settings_file},
      settings_.folder + "/" + node.name + ".log");
}

void soak_fleet::KillNode(soak_node& node, bool erase_disk) {
  node.process.Kill();
  if (!erase_disk || !node.is_control) return;
  std::filesystem::remove_all(node.data_folder);
}

void soak_fleet::PauseNode(soak_node& node) {
  node.is_paused = true;
  node.process.Signal(SIGSTOP);
}

void soak_fleet::ResumeNode(soak_node& node) {
  node.is_paused = false;
  node.process.Signal(SIGCONT);
  // It has not read what endpoints asked for meanwhile.
  ledger_.pauses().ExcuseVm(node.ip);
}

void soak_fleet::CheckNodes() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    soak_node& node = *nodes_[i];
    int status = 0;
    if (!node.process.HasEnded(status)) continue;
    if (!node.is_end_expected) {
      ledger_.RecordViolation(node.name + " ended unexpectedly, status " +
                              std::to_string(status));
    }
    StartNode(node);
  }
}

void soak_fleet::CutFromEndpoints(const std::vector<soak_node*>& cut,
                                  cut_form form) {
  std::vector<std::string> sources;
  for (const soak_node* node : cut) {
    sources.push_back(node->ip);
    ledger_.pauses().ExcuseVm(node->ip);
  }
  for (const auto& link : endpoint_links_) link->CutFrom(sources, form);
}

void soak_fleet::EndFaults() {
  CutFromEndpoints({}, cut_form::kKept);
  for (const auto& node : nodes_) {
    node->proxy->SetMode(link_mode::kPass);
    // Connections that dropped bytes stay broken; the fleet must detect them.
    if (node->is_paused) ResumeNode(*node);
    if (!node->process.is_running()) StartNode(*node);
  }
  for (const auto& link : endpoint_links_) link->SetMode(link_mode::kPass);
  for (const auto& endpoint : endpoints_) {
    if (!endpoint->is_running()) endpoint->Start();
  }
}

std::vector<soak_node*> soak_fleet::ControlNodes() {
  std::vector<soak_node*> found;
  for (const auto& node : nodes_) {
    if (node->is_control) found.push_back(node.get());
  }
  return found;
}

std::vector<soak_node*> soak_fleet::EntryNodes() {
  std::vector<soak_node*> found;
  for (const auto& node : nodes_) {
    if (!node->is_control) found.push_back(node.get());
  }
  return found;
}

}  // namespace marjoramsill::soak
