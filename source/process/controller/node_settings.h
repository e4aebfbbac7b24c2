#ifndef MARJORAMSILL_PROCESS_CONTROLLER_NODE_SETTINGS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "connection/socket_address.h"
#include "process/placement/retry_settings.h"
#include "process/placement/warm_up_bound.h"
#include "types/ids.h"
#include "types/result.h"
#include "version/section_error.h"

namespace marjoramsill {

/// Settings of an entry process or a control process in a fleet that discovers
/// its members.
struct node_settings {
  vm_id vm;
  failure_domain_id failure_domain;
  /// Address for the other processes of the fleet. The port is the same on all
  /// VMs.
  socket_address peers;
  /// Local address to bind if it differs from the address `peers`.
  std::optional<socket_address> peers_bind;
  /// For callers and for the load balancer; entry processes only.
  std::optional<socket_address> callers;
  std::optional<socket_address> readiness;
  /// For operators and endpoints; control processes only.
  std::optional<socket_address> control;
  std::optional<socket_address> metrics;
  /// For requests that other entry VMs hand on; entry processes only.
  socket_address relay;
  /// Local IP of connections to endpoints, on a VM with several; empty: chosen
  /// by the system.
  std::string endpoint_source;
  /// Control addresses of some control processes.
  std::vector<socket_address> seeds;
  /// Durable state of a control process.
  std::string data_folder;
  /// First start of the fleet: the seeds form the control group.
  bool founds_group = false;
  /// Number of control processes that may be lost at the same time.
  std::uint32_t tolerated_losses = 1;
  /// Grace period from SIGTERM to SIGKILL.
  std::chrono::milliseconds grace{8'000};
  /// Interval between heartbeats of an endpoint.
  std::chrono::milliseconds heartbeat_interval{1'200};
  /// Time within which an acknowledged document must be in force on every VM.
  std::chrono::milliseconds document_apply{2'000};
  /// Speed of the VM's link in Mbit/s; 0 if unknown.
  double link_mbps = 0;
  /// Memory of the VM in MB; 0 if unknown.
  std::uint32_t memory_mb = 0;
  /// Estimate the speed of endpoints that state no duration of work too.
  bool learn_endpoint_speed = false;
  retry_settings retries;
  warm_up_bound warm_up;
};

/// Parses settings in YAML. `file` appears in error messages only.
result<node_settings, section_error> ParseNodeSettings(const std::string& file,
                                                       std::string_view text);

/// VM ids of the seeds, which are their peer addresses.
std::vector<vm_id> SeedVms(const node_settings& settings);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_NODE_SETTINGS_H_
