#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <vector>

#include "cluster.h"
#include "process/controller/link_budget.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A group whose members send responses to watchers over the same links.
class watch_traffic_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_traffic_test);
  CPPUNIT_TEST(leader_keeps_its_lease_with_any_watch_traffic);
  CPPUNIT_TEST(unbounded_watch_traffic_takes_the_lease);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kLinkMbps = 3;
  static constexpr std::size_t kResponseBytes = 4'000;
  static constexpr std::size_t kDocumentBytes = 64'000;
  static constexpr std::size_t kVms = 6;
  static constexpr int kWatchers = 71;
  /// Responses in 3 ms without a bound. The simulated link divides its rate
  /// equally among messages, so that it takes this many to delay those of the
  /// group.
  static constexpr int kUnboundedResponses = 20;

  struct outcome {
    std::uint64_t elections = 0;
    int without_lease = 0;
    int proposed = 0;
    std::uint64_t committed = 0;
  };

  /// Each watcher asks again 3 ms after a response. Documents take their share
  /// of each link all the time.
  static outcome Play(bool is_bounded, int steps) {
    cluster_options options;
    options.vms = kVms;
    options.link_bytes_per_second = kLinkMbps * 1e6 / 8;
    cluster group(options);
    for (std::size_t i = 0; i < kVms; ++i) group.Start(i);
    CPPUNIT_ASSERT(group.RunUntil([&] { return group.Leader().has_value(); },
                                  seconds(10)));
    group.Run(seconds(2));
    std::vector<link_budget> budgets(kVms,
                                     link_budget(is_bounded ? kLinkMbps : 0));
    outcome result;
    const std::uint64_t elections = group.elections();
    const std::uint64_t committed = group.committed();
    for (int step = 0; step < steps; ++step) {
      const steady_time now{std::chrono::microseconds(group.now())};
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        Respond(group, vm, budgets[vm], now, is_bounded);
        if (step % 340 == 0) group.SendOther(vm, kDocumentBytes);
      }
      const auto leader = group.Leader();
      const bool has_lease = leader && group.group(*leader)->HoldsLease();
      if (!has_lease) ++result.without_lease;
      if (has_lease && step % 100 == 0 && group.Propose(*leader, "x")) {
        ++result.proposed;
      }
      group.Run(milliseconds(3));
    }
    result.elections = group.elections() - elections;
    result.committed = group.committed() - committed;
    std::cout << " elections " << result.elections << ", steps without lease "
              << result.without_lease << ", proposed " << result.proposed
              << std::endl;
    CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
    return result;
  }

  static void Respond(cluster& group, std::size_t vm, link_budget& budget,
                      steady_time now, bool is_bounded) {
    const int most = is_bounded ? kWatchers : kUnboundedResponses;
    for (int i = 0; i < most; ++i) {
      if (!budget.Allows(link_use::kUrgent, now)) return;
      budget.Charge(kResponseBytes, 0, false, now);
      group.SendOther(vm, kResponseBytes);
    }
  }

 public:
  // Guards against a group that loses its leader because watch responses fill
  // the links of its members.
  void leader_keeps_its_lease_with_any_watch_traffic() {
    const outcome bounded = Play(true, 6'000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bounded.elections);
    CPPUNIT_ASSERT_EQUAL(0, bounded.without_lease);
    CPPUNIT_ASSERT(bounded.proposed > 0);
  }

  // Guards against a model whose links could never take the lease.
  void unbounded_watch_traffic_takes_the_lease() {
    CPPUNIT_ASSERT(Play(false, 1'500).without_lease > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_traffic_test);

}  // namespace marjoramsill
