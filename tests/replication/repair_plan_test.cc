#include "process/replication/repair_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace marjoramsill {
namespace {

using std::chrono::seconds;

/// A member. The first letter of its name is its failure domain.
struct sample {
  std::string name;
  bool voter = true;
  /// Seconds since the last message.
  int unresponsive = 0;
  std::uint64_t disk = 1;
  bool leaving = false;
};

struct plan_case {
  group_configuration configuration;
  std::vector<member_health> health;

  explicit plan_case(const std::vector<sample>& samples) {
    for (const sample& s : samples) {
      const member_id id{vm_id(s.name), disk_id(s.disk)};
      configuration.Set({id, failure_domain_id(s.name.substr(0, 1)), s.voter});
      health.push_back({id, seconds(s.unresponsive), s.unresponsive < 2,
                        s.unresponsive < 2, s.leaving});
    }
  }

  /// Returns the planned step: "+a1" if a1 is promoted, "-a1" if it is demoted
  /// or removed as a voter, "x a1" if it is removed as a standby, "" if there
  /// is none. The leader is a1.
  std::string Plan(const raft_settings& settings) const {
    const member_id leader{vm_id("a1"), disk_id(1)};
    auto next = PlanRepair(configuration, leader, health, settings);
    if (!next) return "";
    for (const group_member& member : configuration.members) {
      const std::string name = member.id.vm.value();
      const bool voter = next->IsVoter(member.id);
      if (voter != member.voter) return (voter ? "+" : "-") + name;
      if (next->Find(member.id) == nullptr) return "x " + name;
    }
    return "?";
  }
};

std::string Plan(const std::vector<sample>& samples) {
  return plan_case(samples).Plan(raft_settings{});
}

/// The plan of a group that keeps `voters` voters.
std::string KeepingPlan(std::size_t voters,
                        const std::vector<sample>& samples) {
  raft_settings settings;
  settings.target_voters = settings.kept_voters = voters;
  return plan_case(samples).Plan(settings);
}

}  // namespace

class repair_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(repair_plan_test);
  CPPUNIT_TEST(plan_healthy_group_is_unchanged);
  CPPUNIT_TEST(plan_unresponsive_voter_is_demoted_after_its_time);
  CPPUNIT_TEST(plan_unresponsive_standby_is_removed_after_its_time);
  CPPUNIT_TEST(plan_three_voters_keep_an_unresponsive_one_without_standby);
  CPPUNIT_TEST(plan_step_that_cannot_commit_is_not_taken);
  CPPUNIT_TEST(plan_returned_vm_supersedes_its_old_disk_at_once);
  CPPUNIT_TEST(plan_voters_are_spread_over_domains);
  CPPUNIT_TEST(plan_leaving_voter_is_replaced_before_it_is_removed);
  CPPUNIT_TEST(plan_lost_domain_ends_with_three_reachable_voters);
  CPPUNIT_TEST(plan_kept_voters_are_not_fewer_after_a_cut);
  CPPUNIT_TEST(plan_kept_voters_replace_a_lost_disk_in_its_place);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against needless changes, each of which costs a commit.
  void plan_healthy_group_is_unchanged() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        Plan({{"a1"}, {"a2"}, {"b1"}, {"b2"}, {"c1"}, {"c2", false}}));
    // Four voters would tolerate no more losses than three.
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Plan({{"a1"}, {"b1"}, {"c1"}, {"c2", false}}));
  }

  // Guards against a group that loses its majority by a second loss.
  void plan_unresponsive_voter_is_demoted_after_its_time() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(), Plan({{"a1"}, {"a2"}, {"b1"}, {"b2"}, {"c1", true, 9}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("-c1"),
        Plan({{"a1"}, {"a2"}, {"b1"}, {"b2"}, {"c1", true, 10}}));
  }

  // Guards against a configuration that grows with each replaced VM.
  void plan_unresponsive_standby_is_removed_after_its_time() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Plan({{"a1"}, {"b1"}, {"c1"}, {"c2", false, 59}}));
    CPPUNIT_ASSERT_EQUAL(std::string("x c2"),
                         Plan({{"a1"}, {"b1"}, {"c1"}, {"c2", false, 60}}));
  }

  // Guards against a group of two voters, which tolerates no loss.
  void plan_three_voters_keep_an_unresponsive_one_without_standby() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Plan({{"a1"}, {"b1"}, {"c1", true, 99}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("-c1"),
        Plan({{"a1"}, {"b1"}, {"c1", true, 99}, {"c2", false}}));
    CPPUNIT_ASSERT_EQUAL(std::string("+c2"),
                         Plan({{"a1"}, {"b1"}, {"c2", false}}));
  }

  // Guards against a change that the remaining voters cannot commit, after
  // which no other change is possible either.
  void plan_step_that_cannot_commit_is_not_taken() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        Plan({{"a1"}, {"b1", true, 5}, {"c1", true, 5}, {"c2", false}}));
    // Three voters, one of them unresponsive for a short time: if a fourth
    // voter were promoted and lost at once, only two of four would be left.
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        Plan({{"a1"}, {"b1"}, {"c1", true, 5}, {"b2", false}, {"c2", false}}));
  }

  // Guards against waiting for a disk that has been replaced.
  void plan_returned_vm_supersedes_its_old_disk_at_once() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("-c1"),
        Plan({{"a1"}, {"b1"}, {"b2"}, {"c1", true, 3}, {"c1", false, 0, 2}}));
  }

  // Guards against voters that share a failure domain without need.
  void plan_voters_are_spread_over_domains() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("+c1"),
        Plan({{"a1"}, {"a2"}, {"a3"}, {"b1"}, {"b2"}, {"c1", false}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("-a2"),
        Plan({{"a1"}, {"a2"}, {"a3"}, {"b1"}, {"b2"}, {"c1"}}));
    // Of two standbys, the one in the domain with fewer voters is promoted.
    CPPUNIT_ASSERT_EQUAL(
        std::string("+d1"),
        Plan({{"a1"}, {"a2"}, {"b1"}, {"c1"}, {"c2", false}, {"d1", false}}));
  }

  // Guards against a planned shutdown that reduces the number of losses that
  // the group tolerates.
  void plan_leaving_voter_is_replaced_before_it_is_removed() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("+c2"),
        Plan({{"a1"}, {"b1"}, {"c1", true, 0, 1, true}, {"c2", false}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("-c1"),
        Plan({{"a1"}, {"b1"}, {"c1", true, 0, 1, true}, {"c2"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Plan({{"a1"}, {"b1"}, {"c1", true, 0, 1, true}}));
    // With one voter lost, the vote of the leaving one is still needed.
    CPPUNIT_ASSERT_EQUAL(std::string(), Plan({{"a1"},
                                              {"a2"},
                                              {"b1"},
                                              {"b2", true, 5},
                                              {"c1", true, 0, 1, true}}));
  }

  // Guards against a group that keeps two lost voters after the loss of their
  // failure domain, and so tolerates no further loss.
  void plan_lost_domain_ends_with_three_reachable_voters() {
    plan_case group({{"a1"},
                     {"a2"},
                     {"b1", true, 70},
                     {"b2", true, 70},
                     {"c1"},
                     {"c2", false}});
    const member_id leader{vm_id("a1"), disk_id(1)};
    for (int i = 0; i < 10; ++i) {
      auto next = PlanRepair(group.configuration, leader, group.health, {});
      if (!next) break;
      CPPUNIT_ASSERT(IsSingleStep(group.configuration, *next));
      group.configuration = *next;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, group.configuration.members.size());
    CPPUNIT_ASSERT(group.configuration.voter_count() >= 3);
    CPPUNIT_ASSERT(!group.configuration.IsVoter({vm_id("b1"), disk_id(1)}));
  }

  // Guards against a repair that gives up the vote of an intact disk.
  void plan_kept_voters_are_not_fewer_after_a_cut() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        KeepingPlan(5, {{"a1"}, {"b1"}, {"c1"}, {"d1"}, {"e1", true, 99}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("+f1"),
        KeepingPlan(
            5,
            {{"a1"}, {"b1"}, {"c1"}, {"d1"}, {"e1", true, 10}, {"f1", false}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("-e1"),
        KeepingPlan(
            5, {{"a1"}, {"b1"}, {"c1"}, {"d1"}, {"e1", true, 10}, {"f1"}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("+d1"),
        KeepingPlan(3, {{"a1"}, {"b1"}, {"c1", true, 10}, {"d1", false}}));
    // The promotion could not be committed.
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        KeepingPlan(
            3, {{"a1"}, {"b1", true, 5}, {"c1", true, 10}, {"d1", false}}));
    // An active voter that leaves is replaced first as well.
    CPPUNIT_ASSERT_EQUAL(std::string("+f1"),
                         KeepingPlan(5, {{"a1"},
                                         {"b1"},
                                         {"c1"},
                                         {"d1"},
                                         {"e1", true, 0, 1, true},
                                         {"f1", false}}));
  }

  // Guards against a VM that counts twice, with its lost disk and its new one.
  void plan_kept_voters_replace_a_lost_disk_in_its_place() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("-c1"),
        KeepingPlan(3, {{"a1"}, {"b1"}, {"c1", true, 3}, {"c1", false, 0, 2}}));
    CPPUNIT_ASSERT_EQUAL(std::string("+c1"),
                         KeepingPlan(3, {{"a1"}, {"b1"}, {"c1", false, 0, 2}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repair_plan_test);

}  // namespace marjoramsill
