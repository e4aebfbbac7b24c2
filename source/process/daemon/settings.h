#ifndef MARJORAMSILL_PROCESS_DAEMON_SETTINGS_H_
#define MARJORAMSILL_PROCESS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "connection/socket_address.h"
#include "connection/tls_settings.h"
#include "types/ids.h"
#include "types/result.h"
#include "version/section_error.h"

namespace marjoramsill {

/// Role of a VM in the replicated groups. Voters form the groups when the fleet
/// is started the first time; afterwards the groups repair themselves.
enum class control_role { kNone, kStandby, kVoter };

/// A VM of the fleet.
struct fleet_vm {
  vm_id id;
  failure_domain_id domain;
  /// Address of its peer listener.
  socket_address peers;
  control_role control = control_role::kNone;
};

/// Settings of one process, read from a YAML file.
struct settings {
  vm_id vm;
  failure_domain_id failure_domain;
  socket_address callers;
  socket_address control;
  socket_address peers;
  /// Empty on a VM without a disk.
  std::string data_folder;
  /// All VMs of the fleet, including this one.
  std::vector<fleet_vm> fleet;
  std::optional<tls_settings> tls;
  /// Ed25519 public key that owns the section teams/root, as base64.
  std::string root_key;
  /// Number of replicated groups that hold claims; must be equal on all VMs.
  std::size_t claim_groups = 4;
  std::size_t io_threads = 2;
  std::size_t max_connections = 10'000;
  std::size_t max_body_bytes = 4UL * 1024 * 1024;
  /// Memory of the VM in megabytes; 0: what the machine and the limits of the
  /// process name.
  std::uint32_t memory_mb = 0;
  /// Time in a shutdown for the load balancer to notice that the VM is not
  /// ready, before connections are closed.
  std::chrono::milliseconds drain_delay{2'000};
  std::string log_level = "info";

  /// Returns the entry of a VM in the fleet, or null.
  const fleet_vm* FindVm(const vm_id& id) const;
};

/// Parses and checks a settings file. The section of an error is `file`.
result<settings, section_error> ParseSettings(const std::string& file,
                                              std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_SETTINGS_H_
