#ifndef MARJORAMSILL_PROCESS_DAEMON_FLEET_MEMBERSHIP_H_
#define MARJORAMSILL_PROCESS_DAEMON_FLEET_MEMBERSHIP_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "process/daemon/shard_actions.h"
#include "process/membership/endpoint_registry.h"
#include "process/membership/peer_membership.h"
#include "types/result.h"

namespace marjoramsill {

class endpoint_client;
class peer_transport;
class pool_shards;
struct pool_shard;
struct settings;

/// Refusal of an announcement: HTTP status and detail of the response.
struct announce_failure {
  int status = 400;
  std::string detail;
};

/// Membership of endpoints and VMs in this process: guards the registry with
/// the membership lock, exchanges heartbeats, sends probes, and keeps the
/// placements of the shards up to date.
class fleet_membership {
 public:
  fleet_membership(const settings& process_settings,
                   incarnation_number incarnation, peer_transport& peers,
                   endpoint_client& client, pool_shards& shards);

  result<announcement_response, announce_failure> Announce(
      std::string_view json);
  /// Returns the response to POST /peer/heartbeat.
  std::string OnHeartbeat(std::string_view body);
  /// To be called every 100 ms.
  void Tick();

  dispatch_decision Dispatch(const endpoint_id& id);
  std::optional<endpoint_status> Find(const endpoint_id& id) const;
  /// Records the result of an attempt and passes its load report to the shard.
  void OnAttempt(const endpoint_id& id, const attempt_report& report,
                 pool_shard& shard);
  /// Returns the endpoints of a pool, for the status command.
  std::vector<endpoint_status> EndpointsOf(const model_id& pool) const;
  bool IsReachable(const vm_id& vm) const;
  /// Returns the other VMs that have recently shown to be running.
  std::vector<vm_id> ReachableVms() const;

  void SetVersion(document_version version);
  /// Returns the newest policy version of a reachable peer and a VM that has
  /// it; the VM is empty if none is known.
  std::pair<vm_id, document_version> NewestPeerVersion() const;
  std::uint64_t sent_bytes() const;

 private:
  /// What Tick() passes to the shard of one pool.
  struct pool_view {
    std::shared_ptr<const placement> table;
    /// The shard does not have the table yet.
    bool is_new = false;
    std::vector<endpoint_update> updates;
  };

  void SendHeartbeats(const std::vector<peer_request>& requests);
  void SendProbes(const std::vector<probe_request>& probes);
  void UpdateShards(steady_time now);
  /// Rebuilds the pool's placement if the registry has changed. Called under
  /// the membership lock.
  void UpdatePlacement(const model_id& pool);
  /// Collects the updates of all pools in one pass over all endpoints. Called
  /// under the membership lock.
  void CollectUpdates();
  static void UpdateShard(pool_view& view, pool_shard& shard, steady_time now,
                          std::size_t vms);

  const settings& settings_;
  peer_transport& peers_;
  endpoint_client& client_;
  pool_shards& shards_;
  mutable std::mutex mutex_;
  endpoint_registry registry_;
  peer_membership membership_;
  /// Used by Tick() only.
  std::unordered_map<model_id, pool_view> pools_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_FLEET_MEMBERSHIP_H_
