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
  /// Share of messages that are delayed by up to `long_delay`.
  double slow_share = 0;
  std::chrono::milliseconds long_delay{2000};
  double lost_share = 0;
  double duplicate_share = 0;
  /// Share of usable (VM, endpoint) pairs that get an attempt every 50 ms.
  double attempt_share = 0;
  /// Requests of each VM to random endpoints of its own failure domain.
  double requests_per_vm_second = 0;
  /// Checks every pair of VM and endpoint every 50 ms.
  bool check_dispatch = true;
  /// The load balancer keeps announcements in the endpoint's failure domain.
  bool announce_in_domain = false;
  std::chrono::milliseconds forget_holder{20000};
  std::chrono::milliseconds forget_silent{40000};
};

/// Entry VMs and endpoints in virtual time, with links that delay, lose,
/// duplicate and are cut.
class membership_simulation {
 public:
  explicit membership_simulation(const simulation_options& options);

  void Run(std::chrono::milliseconds duration);

  void StopEndpoint(std::size_t endpoint);
  void RestartEndpoint(std::size_t endpoint);
  void LeaveEndpoint(std::size_t endpoint);
  void FreezeVm(std::size_t vm, std::chrono::milliseconds duration);
  void StopVm(std::size_t vm);
  void RestartVm(std::size_t vm);
  /// Cuts the VM from all other VMs but not from endpoints.
  void IsolateVm(std::size_t vm, bool cut);
  /// Cuts the failure domain from all others, endpoints included.
  void CutDomain(std::size_t domain, bool cut);
  void SetFaults(double slow, double lost, double duplicate);

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
  /// Descriptions of work that was allowed more than 3 s after the end.
  const std::vector<std::string>& violations() const { return violations_; }
  /// VMs that run have equal views, and the views name the live endpoints.
  bool HasConverged() const;
  std::string DescribeViews() const;
  /// Most bytes that one VM has sent in any window of one second.
  std::uint64_t peak_bytes() const { return peak_bytes_; }
  /// Share of requests_per_vm_second that met no fresh evidence.
  double StaleShare() const {
    return seen_ == 0
               ? 0
               : static_cast<double>(stale_) / static_cast<double>(seen_);
  }
  /// Starts peak_bytes() and StaleShare() anew.
  void ResetCounts() { peak_bytes_ = stale_ = seen_ = 0; }

 private:
  struct vm_state {
    std::unique_ptr<endpoint_registry> registry;
    std::unique_ptr<peer_membership> peers;
    std::uint64_t life = 1;
    bool up = true;
    bool isolated = false;
    steady_time frozen_until{};
    std::vector<std::function<void()>> waiting;
    std::uint64_t bytes_before = 0;
  };
  struct endpoint_state_in_test {
    std::uint64_t life = 1;
    bool up = true;
    bool leaving = false;
    std::size_t target = 0;
    bool in_flight = false;
    /// When it stopped or began to leave.
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
  /// Runs the action on the VM, after its freeze if it is frozen.
  void Deliver(std::size_t vm, std::uint64_t life,
               const std::function<void()>& action);
  void ExchangeHeartbeat(std::size_t from, const peer_request& request);
  std::optional<std::chrono::microseconds> Delay();
  bool VmsLinked(std::size_t a, std::size_t b) const;
  bool EndpointLinked(std::size_t vm, std::size_t endpoint) const;
  double Random();
  std::size_t PickTarget(std::size_t endpoint);
  std::size_t FirstUp() const;

  simulation_options options_;
  std::mt19937_64 random_;
  steady_time now_{std::chrono::seconds(100)};
  std::multimap<steady_time, std::function<void()>> events_;
  std::vector<vm_state> vms_;
  std::vector<endpoint_state_in_test> endpoints_;
  std::set<std::size_t> cut_domains_;
  std::vector<std::string> violations_;
  std::uint64_t peak_bytes_ = 0;
  std::uint64_t stale_ = 0;
  std::uint64_t seen_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_H_
