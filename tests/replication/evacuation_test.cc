#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "cluster.h"
#include "process/controller/document_group_settings.h"
#include "process/controller/document_register.h"
#include "process/controller/evacuation_order.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Evacuation orders in a simulated control group with the register of each
/// member. Guards against acknowledged orders that are lost, and repeated ones
/// that take effect twice.
class evacuation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_test);
  CPPUNIT_TEST(order_stays_if_the_leader_is_lost_before_it_acknowledges);
  CPPUNIT_TEST(order_survives_a_power_loss_of_all);
  CPPUNIT_TEST(order_survives_the_loss_of_a_disk);
  CPPUNIT_TEST(order_reaches_a_member_by_a_snapshot);
  CPPUNIT_TEST(same_order_at_two_members_takes_effect_once);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kVms = 6;
  static constexpr std::uint64_t kSeeds = 20;

  struct group {
    explicit group(std::uint64_t seed, std::uint64_t compaction_entries = 0)
        : registers(kVms) {
      cluster_options options;
      options.vms = kVms;
      options.voters = 3;
      options.seed = seed;
      options.found_once = true;
      options.settings = DocumentGroupSettings(1);
      if (compaction_entries > 0) {
        options.settings.compaction_entries = compaction_entries;
        options.settings.retained_entries = 1;
      }
      options.machine.on_start = [this](std::size_t vm) {
        registers[vm] = document_register();
      };
      options.machine.apply = [this](std::size_t vm, std::string_view command) {
        registers[vm].Apply(command);
      };
      options.machine.take_snapshot = [this](std::size_t vm) {
        return registers[vm].Snapshot();
      };
      options.machine.install_snapshot = [this](std::size_t vm,
                                                std::string_view bytes) {
        CPPUNIT_ASSERT(registers[vm].Restore(bytes));
      };
      simulation = std::make_unique<cluster>(options);
      StartAll();
      simulation->Run(seconds(5));
    }

    void StartAll() {
      for (std::size_t i = 0; i < kVms; ++i) simulation->Start(i);
    }

    std::size_t Leader() {
      CPPUNIT_ASSERT(simulation->RunUntil(
          [this] {
            const auto leader = simulation->Leader();
            return leader && simulation->group(*leader)->HoldsLease();
          },
          seconds(20)));
      return *simulation->Leader();
    }

    void Propose(const std::string& domain, bool evacuates) {
      simulation->Propose(
          Leader(),
          EncodeEvacuationOrder({failure_domain_id(domain), evacuates}));
    }

    /// As the leader does for an operator: proposes an order until a leader has
    /// it in its state.
    void Order(const std::string& domain, bool evacuates) {
      const failure_domain_id id(domain);
      for (int i = 0; i < 20; ++i) {
        if (registers[Leader()].evacuations().Contains(id) == evacuates) return;
        Propose(domain, evacuates);
        simulation->Run(milliseconds(200));
      }
      CPPUNIT_FAIL("the order is not committed");
    }

    const evacuation_set& LeaderSet() {
      return registers[Leader()].evacuations();
    }

    void CheckSound() const {
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation->violation());
    }

    std::vector<document_register> registers;
    std::unique_ptr<cluster> simulation;
  };

  static evacuation_set SetOf(const std::string& domain, std::uint64_t change) {
    evacuation_set set;
    set.change = change;
    set.domains = {failure_domain_id(domain)};
    return set;
  }

 public:
  void order_stays_if_the_leader_is_lost_before_it_acknowledges() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      group g(seed);
      const std::size_t leader = g.Leader();
      const failure_domain_id domain("d1");
      g.Propose("d1", true);
      CPPUNIT_ASSERT(g.simulation->RunUntil(
          [&] { return g.registers[leader].evacuations().Contains(domain); },
          seconds(5)));
      // The caller has no answer, and repeats the order at the next leader.
      g.simulation->LosePower(leader);
      CPPUNIT_ASSERT(g.LeaderSet() == SetOf("d1", 1));
      g.Order("d1", true);
      CPPUNIT_ASSERT(g.LeaderSet() == SetOf("d1", 1));
      g.CheckSound();
    }
  }

  void order_survives_a_power_loss_of_all() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      group g(seed);
      g.Order("d2", true);
      for (std::size_t i = 0; i < kVms; ++i) g.simulation->LosePower(i);
      g.StartAll();
      CPPUNIT_ASSERT(g.LeaderSet() == SetOf("d2", 1));
      g.Order("d2", false);
      for (std::size_t i = 0; i < kVms; ++i) g.simulation->LosePower(i);
      g.StartAll();
      CPPUNIT_ASSERT(g.LeaderSet().domains.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, g.LeaderSet().change);
      g.CheckSound();
    }
  }

  void order_survives_the_loss_of_a_disk() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      group g(seed);
      g.Order("d0", true);
      const std::size_t lost = g.Leader();
      g.simulation->ReplaceDisk(lost);
      g.simulation->Start(lost);
      CPPUNIT_ASSERT(g.LeaderSet() == SetOf("d0", 1));
      g.simulation->Run(seconds(10));
      CPPUNIT_ASSERT(g.registers[lost].evacuations() == SetOf("d0", 1));
      g.CheckSound();
    }
  }

  void order_reaches_a_member_by_a_snapshot() {
    constexpr std::uint64_t kCompaction = 4;
    group g(3, kCompaction);
    const std::size_t behind = (g.Leader() + 1) % kVms;
    g.simulation->LosePower(behind);
    g.Order("d1", true);
    for (int i = 0; i < 10; ++i) {
      g.Order("d2", true);
      g.Order("d2", false);
    }
    g.simulation->Start(behind);
    g.simulation->Run(seconds(5));
    CPPUNIT_ASSERT(g.registers[behind].evacuations() == SetOf("d1", 21));
    g.CheckSound();
  }

  void same_order_at_two_members_takes_effect_once() {
    group g(4);
    g.Propose("d1", true);
    g.Propose("d1", true);
    g.simulation->Run(seconds(1));
    CPPUNIT_ASSERT(g.LeaderSet() == SetOf("d1", 1));
    // A withdrawal between two repeats of an order: the log decides.
    g.Propose("d1", false);
    g.Propose("d1", true);
    g.simulation->Run(seconds(1));
    for (const document_register& each : g.registers) {
      CPPUNIT_ASSERT(each.evacuations() == SetOf("d1", 3));
    }
    g.CheckSound();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

}  // namespace marjoramsill
