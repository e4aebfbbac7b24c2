#ifndef MARJORAMSILL_TESTS_SOAK_SOAK_FLEET_H_
#define MARJORAMSILL_TESTS_SOAK_SOAK_FLEET_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "connection/socket_address.h"
#include "fake_endpoint.h"
#include "link_proxy.h"
#include "run_ledger.h"

namespace marjoramsill::soak {

/// Sizes and places of a soak.
struct soak_settings {
  std::string binary;
  std::string folder;
  /// First port; the soak uses the next few hundred.
  std::uint16_t port = 21'000;
  int control_processes = 3;
  int entry_processes = 3;
  int endpoints = 4;
};

/// One process of the fleet. Others reach it through its proxy.
struct soak_node {
  std::string name;
  bool is_control = false;
  std::string settings_file;
  std::string data_folder;
  socket_address callers;
  socket_address control;
  child_process process;
  std::unique_ptr<link_proxy> proxy;
  bool is_paused = false;
  /// A planned end; any other one is a failure.
  bool may_end = false;
};

/// The processes, proxies and fake endpoints of one soak.
class soak_fleet {
 public:
  soak_fleet(asio::io_context& io, soak_settings with, run_ledger& ledger);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  void Start();
  void StartNode(soak_node& node);
  /// Kills it; with `lose_disk` its data folder is emptied.
  void KillNode(soak_node& node, bool lose_disk);
  /// Starts what has ended as planned; notes ends that were not.
  void CheckNodes();
  /// Ends every disturbance.
  void Heal();

  std::vector<std::unique_ptr<soak_node>>& nodes() { return nodes_; }
  std::vector<soak_node*> Controls();
  std::vector<soak_node*> Entries();
  std::vector<std::unique_ptr<fake_endpoint>>& endpoints() {
    return endpoints_;
  }
  std::vector<std::unique_ptr<link_proxy>>& endpoint_links() {
    return endpoint_links_;
  }

 private:
  void AddNode(int index, bool is_control);
  void AddEndpoint(int index);
  void WriteSettings(const soak_node& node, int index, bool founds) const;
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
