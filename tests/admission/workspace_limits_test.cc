#include "process/admission/workspace_limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include "limit_network.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr workspace_limit kLimit{
    .version = section_version(1), .tokens_per_second = 6000, .concurrent = 60};

}  // namespace

class workspace_limits_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(workspace_limits_test);
  CPPUNIT_TEST(demand_on_one_vm_gets_all_concurrency_by_borrowing);
  CPPUNIT_TEST(demand_that_moves_is_not_refused);
  CPPUNIT_TEST(demand_above_the_limit_gets_the_limit);
  CPPUNIT_TEST(burst_is_given_once);
  CPPUNIT_TEST(isolated_vm_serves_its_fixed_share_and_refuses_at_once);
  CPPUNIT_TEST(lost_allocator_is_replaced);
  CPPUNIT_TEST(raised_limit_counts_at_once_and_stays);
  CPPUNIT_TEST(low_demand_exchanges_nothing);
  CPPUNIT_TEST(exchange_stays_within_the_budget);
  CPPUNIT_TEST_SUITE_END();

  /// Returns a fleet after the initial period in which no concurrency moves
  /// between VMs.
  static limit_network Warm() {
    limit_settings settings;
    settings.burst = seconds(1);
    limit_network network(6, settings);
    network.SetLimit(kLimit);
    network.RunFor(seconds(131));
    return network;
  }
  /// Offers requests to one VM at the given fraction of the token limit.
  static void Load(limit_network& network, std::size_t vm, double fraction,
                   milliseconds time) {
    constexpr double kCost = 60;
    const double per_step = kLimit.tokens_per_second * fraction * 0.01 / kCost;
    double due = 0;
    for (milliseconds done(0); done < time; done += milliseconds(10)) {
      for (due += per_step; due >= 1; --due) {
        network.Offer(vm, kCost, milliseconds(100));
      }
      network.RunFor(milliseconds(10));
    }
  }

 public:
  // Guards against refusals while other VMs hold unused shares.
  void demand_on_one_vm_gets_all_concurrency_by_borrowing() {
    for (std::size_t vm = 0; vm < 6; ++vm) {
      limit_network network = Warm();
      const steady_time start = network.now;
      for (int i = 0; i < 60; ++i) network.Offer(vm, 1, seconds(10));
      // One exchange with the allocator, which first obtains its lease.
      network.RunFor(milliseconds(5));
      CPPUNIT_ASSERT_EQUAL(std::size_t{60}, network.Running());
      network.Offer(vm, 1, seconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network.RefusedSince(start));
    }
  }

  // Guards against shares that do not follow the demand to another VM.
  void demand_that_moves_is_not_refused() {
    limit_network network = Warm();
    const steady_time start = network.now;
    for (std::size_t turn = 0; turn < 12; ++turn) {
      Load(network, turn % 6, 0.9, milliseconds(3000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.RefusedSince(start));
  }

  // Guards against a limit that is exceeded, or not used, under high demand.
  void demand_above_the_limit_gets_the_limit() {
    limit_network network = Warm();
    Load(network, 0, 3, seconds(2));
    const steady_time start = network.now;
    Load(network, 0, 3, seconds(10));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1, network.AcceptedSince(start) / kLimit.tokens_per_second / 10, 0.1);
  }

  // Guards against granting the burst a second time when the vote of the third
  // arbiter arrives late.
  void burst_is_given_once() {
    limit_network network = Warm();
    const steady_time start = network.now;
    for (int i = 0; i < 20; ++i) {
      for (int j = 0; j < 50; ++j) network.Offer(0, 60, milliseconds(1));
      network.RunFor(milliseconds(10));
    }
    // The burst, the VM's own bucket, 0.2 s at the rate, one request.
    CPPUNIT_ASSERT(network.AcceptedSince(start) <= 6000 + 1000 + 1200 + 60);
    CPPUNIT_ASSERT(network.AcceptedSince(start) >= 6000);
  }

  // Guards against an isolated VM that serves nothing, and against refusals
  // that are delayed until a response times out.
  void isolated_vm_serves_its_fixed_share_and_refuses_at_once() {
    limit_network network = Warm();
    for (std::size_t i = 1; i < 6; ++i) network.blocked.insert({0, i});
    for (std::size_t i = 1; i < 6; ++i) network.blocked.insert({i, 0});
    Load(network, 0, 1, seconds(2));
    const steady_time start = network.now;
    Load(network, 0, 1, seconds(10));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1.0 / 6, network.AcceptedSince(start) / kLimit.tokens_per_second / 10,
        0.02);
    for (const auto& outcome : network.outcomes) {
      if (outcome.at >= start) CPPUNIT_ASSERT(outcome.wait.count() == 0);
    }
  }

  // Guards against VMs that stay at their fixed shares after the allocator is
  // lost.
  void lost_allocator_is_replaced() {
    for (std::size_t lost = 1; lost < 6; ++lost) {
      limit_network network = Warm();
      Load(network, 0, 0.9, seconds(5));
      for (std::size_t i = 0; i < 6; ++i) {
        network.blocked.insert({i, lost});
        network.blocked.insert({lost, i});
      }
      Load(network, 0, 0.9, seconds(11));
      const steady_time start = network.now;
      Load(network, 0, 0.9, seconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.RefusedSince(start));
    }
  }

  // Guards against a raised limit that takes effect only after shares have
  // moved, or that an older message lowers again.
  void raised_limit_counts_at_once_and_stays() {
    limit_network network = Warm();
    for (int i = 0; i < 70; ++i) network.Offer(0, 1, seconds(60));
    network.RunFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, network.Running());
    workspace_limit raised = kLimit;
    raised.version = section_version(2);
    raised.concurrent = 120;
    network.SetLimitAt(0, raised);
    for (int i = 0; i < 60; ++i) network.Offer(0, 1, seconds(60));
    network.RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{120}, network.Running());
    for (std::size_t i = 0; i < 6; ++i) network.SetLimitAt(i, kLimit);
    network.RunFor(seconds(50));
    network.Offer(0, 1, seconds(60));
    network.RunFor(seconds(20));
    for (int i = 0; i < 120; ++i) network.Offer(0, 1, seconds(60));
    network.RunFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{120}, network.Running());
  }

  // Guards against message traffic for workspaces far below their limit.
  void low_demand_exchanges_nothing() {
    limit_network network = Warm();
    for (int i = 0; i < 200; ++i) {
      Load(network, static_cast<std::size_t>(i) % 6, 0.07, milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, network.Bytes());
  }

  // Guards against limit messages that exceed their share of the control
  // traffic budget.
  void exchange_stays_within_the_budget() {
    limit_network network = Warm();
    for (int i = 0; i < 600; ++i) {
      for (std::size_t vm = 0; vm < 6; ++vm) {
        for (int j = 0; j < 3; ++j) network.Offer(vm, 60, milliseconds(500));
      }
      network.RunFor(milliseconds(50));
    }
    for (const std::uint64_t bytes : network.bytes) {
      CPPUNIT_ASSERT(static_cast<double>(bytes) <= 1000.0 * (30 + 2));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_limits_test);

}  // namespace marjoramsill
