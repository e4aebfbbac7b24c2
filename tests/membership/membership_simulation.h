#ifndef MARJORAMSILL_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_H_
#define MARJORAMSILL_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/membership/endpoint_registry.h"
#include "process/membership/peer_membership.h"

namespace marjoramsill {

struct simulation_options {
  std::size_t domains = 3;
  std::size_t vms_per_domain = 2;
  std::size_t endpoints_per_domain = 3;
  std::uint64_t seed = 1;
  /// Share of messages that are delayed by up to max_delay.
  double delayed_share = 0;
  std::chrono::milliseconds max_delay{2000};
  double lost_share = 0;
  double duplicate_share = 0;
  /// Share of usable (VM, endpoint) pairs that get an attempt every 50 ms.
  double attempt_share = 0;
  /// Rate of requests from each VM to random endpoints of its failure domain.
  double requests_per_vm_second = 0;
  /// Checks for every VM and endpoint every 50 ms whether the VM may use the
  /// endpoint.
  bool check_dispatch = true;
  /// The load balancer sends announcements only to VMs in the endpoint's
  /// failure domain.
  bool announce_in_domain = false;
  std::chrono::milliseconds remove_holder_after{20000};
  std::chrono::milliseconds remove_silent_after{40000};
};

/// Simulates entry VMs and endpoints in virtual time. The network can delay,
/// lose and duplicate messages and can be partitioned.
class membership_simulation {
 public:
  explicit membership_simulation(const simulation_options& options);

  /// Advances the virtual time and runs all events that are due.
  void Run(std::chrono::milliseconds duration);

  void StopEndpoint(std::size_t endpoint);
  void RestartEndpoint(std::size_t endpoint);
  void LeaveEndpoint(std::size_t endpoint);
  void FreezeVm(std::size_t vm, std::chrono::milliseconds duration);
  void StopVm(std::size_t vm);
  void RestartVm(std::size_t vm);
  /// Cuts the VM off from all other VMs, but not from endpoints; `cut` = false
  /// reconnects it.
  void IsolateVm(std::size_t vm, bool cut);
  /// Cuts the VMs and endpoints of the failure domain off from all others;
  /// `cut` = false reconnects them.
  void CutDomain(std::size_t domain, bool cut);
  void SetFaults(double delayed, double lost, double duplicate);

  steady_time now() const { return now_; }
  std::size_t vm_count() const { return vms_.size(); }
  std::size_t endpoint_count() const { return endpoints_.size(); }
  endpoint_registry& registry(std::size_t vm) { return *vms_[vm].registry; }
  peer_membership& peers(std::size_t vm) { return *vms_[vm].peers; }
  endpoint_id IdOf(std::size_t endpoint) const;
  vm_id VmId(std::size_t vm) const;
  std::size_t DomainOfEndpoint(std::size_t endpoint) const;
  std::size_t DomainOfVm(std::size_t vm) const;
  bool IsUsable(std::size_t vm, std::size_t endpoint);
  /// One description for each check that found an endpoint usable more than 3 s
  /// after it stopped or began to leave.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Returns true if the views of all running VMs are equal and contain exactly
  /// the running endpoints that are not leaving.
  bool HasConverged() const;
  std::string DescribeViews() const;
  /// Most bytes that any VM has sent in one second.
  std::uint64_t peak_bytes() const { return peak_bytes_; }
  /// Share of simulated requests whose endpoint was not usable, mostly for lack
  /// of recent evidence.
  double StaleShare() const {
    return checked_requests_ == 0 ? 0
                                  : static_cast<double>(stale_requests_) /
                                        static_cast<double>(checked_requests_);
  }
  /// Resets peak_bytes() and StaleShare().
  void ResetCounts() { peak_bytes_ = stale_requests_ = checked_requests_ = 0; }

 private:
  struct simulated_vm {
    std::unique_ptr<endpoint_registry> registry;
    std::unique_ptr<peer_membership> peers;
    std::uint64_t incarnation = 1;
    bool running = true;
    bool isolated = false;
    steady_time frozen_until{};
    std::vector<std::function<void()>> queued_actions;
    std::uint64_t bytes_at_last_measurement = 0;
  };
  struct simulated_endpoint {
    std::uint64_t incarnation = 1;
    bool running = true;
    bool leaving = false;
    std::size_t target = 0;
    bool in_flight = false;
    /// Time when the endpoint stopped or began to leave.
    std::optional<steady_time> ended_at;
  };

  void At(steady_time when, std::function<void()> action);
  void StartVm(std::size_t vm);
  void TickVm(std::size_t vm);
  void CheckVm(std::size_t vm);
  void RequestFrom(std::size_t vm);
  void MeasureBytes();
  void Announce(std::size_t endpoint);
  void SendAnnouncement(std::size_t endpoint, std::size_t vm);
  void Probe(std::size_t vm, const probe_request& probe);
  void Attempt(std::size_t vm, std::size_t endpoint);
  /// Runs the action on the VM, or after its freeze if it is frozen. Drops the
  /// action if this incarnation of the VM no longer runs.
  void Deliver(std::size_t vm, std::uint64_t incarnation,
               const std::function<void()>& action);
  void ExchangeHeartbeat(std::size_t from, const peer_request& request);
  std::optional<std::chrono::microseconds> Delay();
  bool AreVmsConnected(std::size_t a, std::size_t b) const;
  bool IsEndpointConnected(std::size_t vm, std::size_t endpoint) const;
  double Random();
  std::size_t PickTarget(std::size_t endpoint);
  std::size_t FirstRunningVm() const;

  simulation_options options_;
  std::mt19937_64 random_;
  steady_time now_{std::chrono::seconds(100)};
  std::multimap<steady_time, std::function<void()>> events_;
  std::vector<simulated_vm> vms_;
  std::vector<simulated_endpoint> endpoints_;
  std::set<std::size_t> cut_domains_;
  std::vector<std::string> violations_;
  std::uint64_t peak_bytes_ = 0;
  std::uint64_t stale_requests_ = 0;
  std::uint64_t checked_requests_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_H_
