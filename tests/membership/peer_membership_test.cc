#include "process/membership/peer_membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "membership_simulation.h"
#include "process/membership/peer_ring.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class peer_membership_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_membership_test);
  CPPUNIT_TEST(views_without_faults_converge_and_need_no_probes);
  CPPUNIT_TEST(endpoint_leaving_gets_no_work_after_three_seconds);
  CPPUNIT_TEST(endpoint_leaving_gets_no_work_on_isolated_vm);
  CPPUNIT_TEST(domain_isolated_serves_its_own_endpoints);
  CPPUNIT_TEST(peer_frozen_counts_as_unreachable);
  CPPUNIT_TEST(message_delayed_is_no_evidence);
  CPPUNIT_TEST(message_from_unknown_vm_or_old_incarnation_is_refused);
  CPPUNIT_TEST(version_newest_is_taken_from_heartbeats);
  CPPUNIT_TEST(ring_two_hops_reach_every_position);
  CPPUNIT_TEST(large_fleet_stays_within_bytes_and_converges);
  CPPUNIT_TEST_SUITE_END();

  static simulation_options SmallFleet() {
    simulation_options options;
    options.endpoints_per_domain = 6;
    return options;
  }

  static void AssertNoViolation(const membership_simulation& fleet) {
    CPPUNIT_ASSERT_MESSAGE(
        fleet.violations().empty() ? "" : fleet.violations().front(),
        fleet.violations().empty());
  }

 public:
  // Guards against needless probes and lost endpoints in an idle fleet.
  void views_without_faults_converge_and_need_no_probes() {
    membership_simulation fleet(SmallFleet());
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT_MESSAGE(fleet.DescribeViews(), fleet.HasConverged());
    std::uint64_t before = 0;
    for (std::size_t i = 0; i < fleet.vm_count(); ++i) {
      before += fleet.registry(i).probe_bytes_sent();
    }
    fleet.Run(seconds(20));
    std::uint64_t after = 0;
    for (std::size_t i = 0; i < fleet.vm_count(); ++i) {
      after += fleet.registry(i).probe_bytes_sent();
      for (std::size_t j = 0; j < fleet.endpoint_count(); ++j) {
        CPPUNIT_ASSERT(fleet.IsUsable(i, j));
      }
    }
    CPPUNIT_ASSERT_EQUAL(before, after);
    CPPUNIT_ASSERT(fleet.peak_bytes() <= 3000);
  }

  // Guards against new work on a leaving endpoint (invariant I5).
  void endpoint_leaving_gets_no_work_after_three_seconds() {
    membership_simulation fleet(SmallFleet());
    fleet.Run(seconds(10));
    fleet.LeaveEndpoint(4);
    fleet.Run(seconds(3));
    for (std::size_t i = 0; i < fleet.vm_count(); ++i) {
      CPPUNIT_ASSERT(!fleet.IsUsable(i, 4));
      CPPUNIT_ASSERT(fleet.IsUsable(i, 5));
    }
    fleet.Run(seconds(20));
    AssertNoViolation(fleet);
  }

  // Guards against an isolated VM that relies on old evidence.
  void endpoint_leaving_gets_no_work_on_isolated_vm() {
    membership_simulation fleet(SmallFleet());
    fleet.Run(seconds(10));
    fleet.IsolateVm(0, true);
    fleet.LeaveEndpoint(4);
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT(!fleet.IsUsable(0, 4));
    CPPUNIT_ASSERT(fleet.peers(0).IsIsolated(fleet.now()));
    fleet.Run(seconds(30));
    AssertNoViolation(fleet);
    fleet.IsolateVm(0, false);
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT(!fleet.peers(0).IsIsolated(fleet.now()));
  }

  // Guards against an isolated failure domain that stops using its own
  // endpoints.
  void domain_isolated_serves_its_own_endpoints() {
    membership_simulation fleet(SmallFleet());
    fleet.Run(seconds(10));
    fleet.CutDomain(0, true);
    fleet.Run(seconds(10));
    std::size_t own = 0;
    std::size_t foreign = 0;
    for (std::size_t j = 0; j < fleet.endpoint_count(); ++j) {
      const bool usable = fleet.IsUsable(0, j);
      (fleet.DomainOfEndpoint(j) == 0 ? own : foreign) += usable ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, own);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, foreign);
    CPPUNIT_ASSERT(fleet.peers(0).IsReachable(fleet.VmId(1), fleet.now()));
    CPPUNIT_ASSERT(!fleet.peers(0).IsReachable(fleet.VmId(2), fleet.now()));
    fleet.CutDomain(0, false);
    fleet.Run(seconds(15));
    CPPUNIT_ASSERT_MESSAGE(fleet.DescribeViews(), fleet.HasConverged());
    AssertNoViolation(fleet);
  }

  // Guards against a frozen VM that its peers consider reachable, and against
  // one that relies on its old evidence when it resumes.
  void peer_frozen_counts_as_unreachable() {
    membership_simulation fleet(SmallFleet());
    fleet.Run(seconds(10));
    fleet.FreezeVm(1, seconds(8));
    for (std::size_t j = 0; j < fleet.endpoint_count(); ++j) {
      fleet.StopEndpoint(j);
    }
    fleet.Run(milliseconds(2700));
    CPPUNIT_ASSERT(!fleet.peers(0).IsReachable(fleet.VmId(1), fleet.now()));
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT(fleet.peers(0).IsReachable(fleet.VmId(1), fleet.now()));
    AssertNoViolation(fleet);
  }

  // Guards against accepting a heartbeat as evidence that arrives seconds late.
  void message_delayed_is_no_evidence() {
    const std::vector<peer_vm> vms = {{vm_id("a"), failure_domain_id("d")},
                                      {vm_id("b"), failure_domain_id("d")}};
    endpoint_registry_settings registry;
    registry.self = {vm_id("a"), incarnation_number(1)};
    endpoint_registry registry_a(registry);
    registry.self.vm = vm_id("b");
    endpoint_registry registry_b(registry);
    peer_membership a({vms[0], incarnation_number(1), vms}, registry_a);
    peer_membership b({vms[1], incarnation_number(1), vms}, registry_b);
    (void)a.Tick(steady_time(seconds(99)));
    const steady_time start{seconds(100)};
    const auto request = a.Tick(start).at(0);
    const auto response = b.OnRequest(request.body, start + seconds(1));
    CPPUNIT_ASSERT(a.OnResponse(response.value(), start + seconds(5)));
    CPPUNIT_ASSERT(!a.IsReachable(vm_id("b"), start + seconds(5)));
    const auto again = a.Tick(start + seconds(6)).at(0);
    const auto prompt = b.OnRequest(again.body, start + seconds(6));
    CPPUNIT_ASSERT(a.OnResponse(prompt.value(), start + seconds(6)));
    CPPUNIT_ASSERT(a.IsReachable(vm_id("b"), start + seconds(8)));
    CPPUNIT_ASSERT(!a.IsReachable(vm_id("b"), start + milliseconds(8500)));
  }

  // Guards against applying messages of VMs outside the fleet or of an earlier
  // incarnation of a VM.
  void message_from_unknown_vm_or_old_incarnation_is_refused() {
    simulation_options options;
    membership_simulation fleet(options);
    fleet.Run(seconds(5));
    fleet.StopVm(1);
    fleet.RestartVm(1);
    fleet.Run(seconds(5));
    peer_message message;
    message.from = {fleet.VmId(1), incarnation_number(1)};
    const auto old =
        fleet.peers(0).OnRequest(EncodePeerMessage(message), fleet.now());
    CPPUNIT_ASSERT(!old);
    CPPUNIT_ASSERT(old.error().why ==
                   peer_decode_error::reason::kOldIncarnation);
    message.from.vm = vm_id("stranger");
    const auto strange =
        fleet.peers(0).OnRequest(EncodePeerMessage(message), fleet.now());
    CPPUNIT_ASSERT(!strange);
    CPPUNIT_ASSERT(strange.error().why ==
                   peer_decode_error::reason::kUnknownSender);
  }

  // Guards against a VM that doesn't detect that its document is stale.
  void version_newest_is_taken_from_heartbeats() {
    membership_simulation fleet(SmallFleet());
    fleet.peers(3).SetVersion(document_version(9));
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT(fleet.peers(0).newest_peer_version() == document_version(9));
    CPPUNIT_ASSERT(fleet.peers(0).newest_version_holder() == fleet.VmId(3));
  }

  // Guards against ring positions whose heartbeats don't reach all others.
  void ring_two_hops_reach_every_position() {
    for (std::size_t size = 1; size <= 120; ++size) {
      for (std::size_t own = 0; own < size; ++own) {
        std::set<std::size_t> reached = {own};
        const peer_ring ring = BuildPeerRing(size, own, 12);
        for (std::size_t at : ring.near) reached.insert(at);
        for (std::size_t at : ring.far) {
          reached.insert(at);
          for (std::size_t next : BuildPeerRing(size, at, 12).near) {
            reached.insert(next);
          }
        }
        CPPUNIT_ASSERT_EQUAL(size, reached.size());
      }
    }
  }

  // Guards against control traffic per VM that grows with the fleet.
  void large_fleet_stays_within_bytes_and_converges() {
    simulation_options options;
    options.domains = 4;
    options.vms_per_domain = 20;
    options.endpoints_per_domain = 20;
    options.announce_in_domain = true;
    options.remove_holder_after = seconds(300);
    options.remove_silent_after = seconds(600);
    options.check_dispatch = false;
    membership_simulation fleet(options);
    fleet.Run(seconds(120));
    CPPUNIT_ASSERT_MESSAGE(fleet.DescribeViews(), fleet.HasConverged());
    CPPUNIT_ASSERT(fleet.peak_bytes() <= 3000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_membership_test);

}  // namespace marjoramsill
