#ifndef MARJORAMSILL_TESTS_SOAK_SOAK_FLEET_H_
#define MARJORAMSILL_TESTS_SOAK_SOAK_FLEET_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "connection/socket_address.h"
#include "fake_endpoint.h"
#include "link_proxy.h"
#include "run_ledger.h"

namespace marjoramsill::soak {

/// Added to soak_settings::port: the port on which entry processes take the
/// requests of others.
inline constexpr int kRelayPort = 8;

/// Fleet size and paths of a soak test.
struct soak_settings {
  std::string binary;
  std::string folder;
  /// First port; the test uses this and the next eight on 127.0.1.x and
  /// 127.0.2.x.
  std::uint16_t port = 21'000;
  int control_processes = 3;
  int entry_processes = 3;
  int endpoints = 4;
  /// Software versions of the endpoints, in turn.
  std::vector<std::string> software = {"v1", "v1.1"};
  /// Endpoints are reached without a proxy, which accepts connections while
  /// its endpoint is down.
  bool reaches_endpoints_directly = false;
  /// Time from a plain request to its response, and whether responses name the
  /// load of their endpoint.
  std::chrono::milliseconds service_time{15};
  bool reports_load = false;
  /// Requests that an endpoint runs at the same time, in its heartbeats.
  int slots = 32;
  /// fake_endpoint_settings of the same names.
  int most_running = 0;
  std::chrono::milliseconds event_interval{20};
  std::chrono::milliseconds silence{0};
  /// Time from SIGTERM to the end that an operator would enforce.
  std::chrono::milliseconds grace{4'000};
  /// Every other endpoint that a prompt part has crashed starts under a new id.
  bool renews_ids = false;
  /// Memory of an entry VM and of a control VM; 0: not in its settings.
  int entry_memory_mb = 0;
  int control_memory_mb = 0;
  /// Requests per second that a cold endpoint takes, in the document and with
  /// the usual settings beside it; nothing: no such limit.
  std::optional<double> cold_per_s;
};

/// One process of the fleet. Other processes reach it through its proxy.
struct soak_node {
  std::string name;
  bool is_control = false;
  std::string settings_file;
  std::string ip;
  std::string data_folder;
  socket_address callers;
  socket_address control;
  child_process process;
  std::unique_ptr<link_proxy> proxy;
  bool is_paused = false;
  /// Set before a planned end; any other end is a violation.
  bool is_end_expected = false;
};

/// The processes, proxies and fake endpoints of one soak test.
class soak_fleet {
 public:
  soak_fleet(asio::io_context& io, soak_settings settings, run_ledger& ledger);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  const soak_settings& settings() const { return settings_; }
  void Start();
  void StartNode(soak_node& node);
  /// Kills the process. `erase_disk` also removes its data folder, if it is a
  /// control process.
  void KillNode(soak_node& node, bool erase_disk);
  /// Stops the process until ResumeNode().
  void PauseNode(soak_node& node);
  void ResumeNode(soak_node& node);
  /// Restarts processes that have ended, and records a violation for each that
  /// ended unexpectedly.
  void CheckNodes();
  /// Ends all faults and restarts everything that is down.
  void EndFaults();

  std::vector<std::unique_ptr<soak_node>>& nodes() { return nodes_; }
  std::vector<soak_node*> ControlNodes();
  std::vector<soak_node*> EntryNodes();
  std::vector<std::unique_ptr<fake_endpoint>>& endpoints() {
    return endpoints_;
  }
  /// Cuts entry processes off from all endpoints; none: ends the cut.
  void CutFromEndpoints(const std::vector<soak_node*>& cut, cut_form form);
  std::vector<std::unique_ptr<link_proxy>>& endpoint_links() {
    return endpoint_links_;
  }

 private:
  void AddNode(int index, bool is_control);
  void AddEndpoint(int index);
  void WriteSettings(const soak_node& node, int index, bool founds_group) const;
  std::string PeerIp(int index) const;

  asio::io_context& io_;
  const soak_settings settings_;
  run_ledger& ledger_;
  std::vector<std::unique_ptr<soak_node>> nodes_;
  std::vector<std::unique_ptr<fake_endpoint>> endpoints_;
  std::vector<std::unique_ptr<link_proxy>> endpoint_links_;
  std::size_t next_control_ = 0;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_SOAK_FLEET_H_
