#ifndef MARJORAMSILL_CONTROL_FLEET_SIMULATION_H_
#define MARJORAMSILL_CONTROL_FLEET_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/control/version_follower.h"

namespace marjoramsill {

/// Properties of the simulated network between two VMs.
struct network_model {
  double loss = 0;
  double duplicates = 0;
  /// One-way delay by the failure domains of sender and receiver, before the
  /// extra delay below.
  std::function<std::chrono::microseconds(const vm_location&,
                                          const vm_location&)>
      delay = [](const vm_location&, const vm_location&) {
        return std::chrono::microseconds(500);
      };
  /// Uniformly distributed; larger values reorder messages.
  std::chrono::microseconds extra_delay{0};
};

/// Simulates the version followers of many VMs in virtual time. The network can
/// lose, duplicate, delay and reorder messages and isolate failure domains. All
/// messages pass through the codec. Every installed version is checked against
/// the accepted document.
class fleet_simulation {
 public:
  struct node {
    vm_location location;
    bool has_disk = false;
    std::unique_ptr<version_follower> follower;
    std::shared_ptr<const policy_snapshot> snapshot;
    /// Version that a VM with a disk has persisted.
    document_version persisted;
    policy_document saved;
    std::uint64_t incarnation = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t heartbeat_bytes = 0;
    std::map<workspace_id, bool> workspace_exists;
  };

  fleet_simulation(const std::vector<vm_location>& vms,
                   std::set<std::size_t> with_disk, network_model network,
                   std::uint64_t seed);

  /// The leader, VM 0, commits a change. The leader always has a disk.
  void Commit(const std::string& section, const std::string& bytes);
  /// Gives these VMs the document at the start.
  void Preload(const policy_document& document,
               const std::set<std::size_t>& vms);
  void RunFor(std::chrono::microseconds time);
  /// Stops and starts a VM. A VM with a disk keeps the version that was in
  /// force and the document that `Save` stored last.
  void Restart(std::size_t index);
  /// Stores the complete document of a VM for its next restart.
  void Save(std::size_t index);
  /// Drops all messages between this failure domain and the others.
  void Isolate(const failure_domain_id& domain) { isolated_.insert(domain); }
  void ReconnectAll() { isolated_.clear(); }
  void RequestWorkspace(std::size_t index, const workspace_id& id);

  bool Converged() const;
  /// Runs until all VMs hold the complete accepted document; false on timeout.
  bool RunUntilConverged(std::chrono::microseconds limit);
  /// Number of VMs that have this version or a newer one in force.
  std::size_t CountInForce(document_version version) const;

  /// First violated invariant; empty when there is none.
  const std::string& violation() const { return violation_; }
  const std::vector<node>& nodes() const { return nodes_; }
  const policy_document& accepted() const { return accepted_; }
  steady_time now() const { return now_; }
  network_model& network() { return network_; }
  void ResetCounters();

 private:
  struct event {
    steady_time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(steady_time time, std::function<void()> run);
  void StartNode(std::size_t index);
  void Tick(std::size_t index, std::uint64_t incarnation);
  void Heartbeat(std::size_t index, std::uint64_t incarnation);
  void Perform(std::size_t index, follower_actions actions);
  void Transmit(std::size_t from, const vm_id& to, std::string bytes,
                std::function<void(std::size_t, const std::string&)> deliver);
  void Install(node& vm, const install_version& action);
  void CheckSections(const node& vm);
  void Check(bool holds, const node& vm, const std::string& what);
  double Uniform();

  std::vector<node> nodes_;
  std::vector<vm_location> vms_;
  std::map<vm_id, std::size_t> index_;
  network_model network_;
  std::mt19937_64 random_;
  std::set<failure_domain_id> isolated_;
  policy_document accepted_;
  /// All accepted records by section and version.
  std::map<section_name, std::map<section_version, section_ptr>> history_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  steady_time now_{};
  std::string violation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONTROL_FLEET_SIMULATION_H_
