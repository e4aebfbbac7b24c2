#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "cluster.h"
#include "process/controller/document_group_settings.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time from the last full disk to a change that is committed.
constexpr seconds kRecoveryLimit{12};
constexpr milliseconds kProposalInterval{100};
/// A process that ended is started again after this time, with its disk still
/// full or not.
constexpr milliseconds kRestartInterval{500};
constexpr std::uint64_t kSeeds = MARJORAMSILL_SCHEDULES / 40;

cluster_options Options(std::size_t vms, std::size_t tolerated,
                        std::uint64_t seed) {
  cluster_options options;
  options.vms = vms;
  options.voters = 3;
  options.domains = vms;
  options.seed = seed;
  options.found_once = true;
  options.settings = DocumentGroupSettings(tolerated);
  return options;
}

}  // namespace

/// Disks of the control group that are full for some seconds each, one after
/// the other.
class full_disk_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(full_disk_test);
  CPPUNIT_TEST(disks_full_by_turns_group_of_three_commits_afterwards);
  CPPUNIT_TEST(disks_full_by_turns_group_of_five_commits_afterwards);
  CPPUNIT_TEST(machines_that_stay_down_until_there_is_room_rejoin);
  CPPUNIT_TEST(power_lost_after_full_disks_keeps_what_was_committed);
  CPPUNIT_TEST_SUITE_END();

  /// Whether a process that ends on its full disk is started again meanwhile.
  enum class restarts { kAtOnce, kWithRoom };

  std::mt19937_64 random_;

  std::size_t Draw(std::size_t bound) { return random_() % bound; }

  static void StartAll(cluster& c) {
    for (std::size_t i = 0; i < c.size(); ++i) c.Start(i);
  }

  static void Propose(cluster& c) {
    if (const auto leader = c.Leader()) c.Propose(*leader, "change");
    c.Run(kProposalInterval);
  }

  /// Every disk is full once, some leaders a second time. The room that is left
  /// decides which write fails first, and where.
  void FillByTurns(cluster& c, restarts mode) {
    for (std::size_t turn = 0; turn < c.size() + 2; ++turn) {
      const std::size_t vm =
          turn < c.size() ? turn : c.Leader().value_or(Draw(c.size()));
      c.SetDiskRoom(vm, Draw(700));
      const milliseconds full(1'500 + Draw(2'500));
      for (milliseconds waited{0}; waited < full; waited += kProposalInterval) {
        const bool is_restart = waited % kRestartInterval == milliseconds(0);
        if (mode == restarts::kAtOnce && is_restart) StartAll(c);
        Propose(c);
      }
      c.SetDiskRoom(vm, std::nullopt);
      StartAll(c);
      c.Run(milliseconds(Draw(1'500)));
    }
  }

  static bool Commits(cluster& c) {
    const std::uint64_t before = c.committed();
    for (milliseconds waited{0}; waited < kRecoveryLimit;
         waited += kProposalInterval) {
      StartAll(c);
      Propose(c);
      if (c.committed() > before) return true;
    }
    return false;
  }

  void CheckSeeds(std::size_t vms, std::size_t tolerated, restarts mode,
                  bool loses_power) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      random_.seed(seed);
      cluster c(Options(vms, tolerated, seed));
      c.Run(seconds(5));
      for (int i = 0; i < 20; ++i) Propose(c);
      CPPUNIT_ASSERT(c.committed() > 0);
      FillByTurns(c, mode);
      if (loses_power) {
        for (std::size_t i = 0; i < c.size(); ++i) c.LosePower(i);
        StartAll(c);
      }
      const std::string at = "seed " + std::to_string(seed) + "\n";
      CPPUNIT_ASSERT_MESSAGE(at + c.Describe(), Commits(c));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, c.stale_disks());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), c.violation());
    }
  }

 public:
  // Guards against changes that stay unanswered long after all disks have room
  // again.
  void disks_full_by_turns_group_of_three_commits_afterwards() {
    CheckSeeds(3, 1, restarts::kAtOnce, false);
  }

  // Guards against the same with more members than voters at first.
  void disks_full_by_turns_group_of_five_commits_afterwards() {
    CheckSeeds(5, 2, restarts::kAtOnce, false);
  }

  // Guards against a member that is left out because it was down while its disk
  // was full.
  void machines_that_stay_down_until_there_is_room_rejoin() {
    CheckSeeds(3, 1, restarts::kWithRoom, false);
  }

  // Guards against a disk on which a write that failed hides what was durable.
  void power_lost_after_full_disks_keeps_what_was_committed() {
    CheckSeeds(3, 1, restarts::kAtOnce, true);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(full_disk_test);

}  // namespace marjoramsill
