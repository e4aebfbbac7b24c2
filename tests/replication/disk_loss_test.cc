#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <vector>

#include "cluster.h"
#include "process/controller/document_group_settings.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the last fault within which the group must commit again.
constexpr seconds kRecoveryLimit{12};
/// A VM counts as lost until this long after all faults have ended.
constexpr seconds kCatchUp{6};
constexpr std::uint64_t kSeeds = MARJORAMSILL_SCHEDULES / 20;

struct fleet_size {
  std::size_t vms = 0;
  std::size_t tolerated_losses = 0;
};

cluster_options Options(const fleet_size& size, std::uint64_t seed) {
  cluster_options options;
  options.vms = size.vms;
  options.voters = 3;
  options.domains = size.vms;
  options.seed = seed;
  options.found_once = true;
  options.settings = DocumentGroupSettings(size.tolerated_losses);
  return options;
}

std::size_t VoterCount(const cluster& c) {
  const auto leader = c.Leader();
  return leader ? c.group(*leader)->node().configuration().voter_count() : 0;
}

void StartAll(cluster& c) {
  for (std::size_t i = 0; i < c.size(); ++i) c.Start(i);
}

bool Commits(cluster& c) {
  constexpr milliseconds kProposalInterval{100};
  const std::uint64_t before = c.committed();
  for (milliseconds waited{0}; waited < kRecoveryLimit;
       waited += kProposalInterval) {
    if (const auto leader = c.Leader()) c.Propose(*leader, "x");
    c.Run(kProposalInterval);
    if (c.committed() > before) return true;
  }
  return false;
}

/// Random faults, in which no more disks are lost than tolerated from one calm
/// time to the next.
class loss_schedule {
 public:
  loss_schedule(const fleet_size& size, std::uint64_t seed)
      : tolerated_(size.tolerated_losses),
        random_(seed),
        cluster_(Options(size, seed)) {}

  std::string Run() {
    cluster_.Run(seconds(5));
    for (int round = 0; round < 3; ++round) {
      lost_.clear();
      const int faults = 4 + static_cast<int>(Draw(8));
      for (int i = 0; i < faults; ++i) {
        InjectFault();
        if (const auto leader = cluster_.Leader()) {
          cluster_.Propose(*leader, "command");
        }
        cluster_.Run(milliseconds(20 + Draw(2'500)));
      }
      cluster_.Heal();
      StartAll(cluster_);
      if (!Commits(cluster_)) return "no leader:\n" + cluster_.Describe();
      cluster_.Run(kCatchUp);
    }
    return cluster_.violation();
  }

 private:
  std::size_t Draw(std::size_t bound) { return random_() % bound; }

  void InjectFault() {
    const std::size_t vm = Draw(cluster_.size());
    switch (Draw(7)) {
      case 0:
        cluster_.Isolate(vm);
        break;
      case 1:
        cluster_.Heal();
        break;
      case 2:
        cluster_.LosePower(vm);
        break;
      case 3:
        StartAll(cluster_);
        break;
      case 4:
        cluster_.Freeze(vm, milliseconds(500 + Draw(4'000)));
        break;
      case 5:
        LoseDisk(vm);
        break;
      default:
        LoseDisk(cluster_.Leader().value_or(vm));
        for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.LosePower(i);
        break;
    }
  }

  void LoseDisk(std::size_t vm) {
    const bool is_lost =
        std::find(lost_.begin(), lost_.end(), vm) != lost_.end();
    if (!is_lost && lost_.size() == tolerated_) return;
    if (!is_lost) lost_.push_back(vm);
    cluster_.ReplaceDisk(vm);
  }

  const std::size_t tolerated_;
  std::mt19937_64 random_;
  std::vector<std::size_t> lost_;
  cluster cluster_;
};

}  // namespace

class disk_loss_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(disk_loss_test);
  CPPUNIT_TEST(voter_cut_off_then_tolerated_disks_lost_group_recovers);
  CPPUNIT_TEST(random_faults_with_tolerated_disks_lost_group_recovers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a repair that counts a cut-off voter as lost and so leaves
  // a group that cannot bear the loss of the tolerated disks.
  void voter_cut_off_then_tolerated_disks_lost_group_recovers() {
    for (const fleet_size& size : {fleet_size{3, 1}, fleet_size{4, 1},
                                   fleet_size{5, 2}, fleet_size{6, 2}}) {
      cluster c(Options(size, 1));
      c.Run(seconds(8));
      CPPUNIT_ASSERT_EQUAL(2 * size.tolerated_losses + 1, VoterCount(c));
      const std::size_t leader = *c.Leader();
      c.Isolate((leader + 1) % size.vms);
      c.Run(seconds(4));
      CPPUNIT_ASSERT(Commits(c));
      for (std::size_t i = 0; i < size.tolerated_losses; ++i) {
        c.ReplaceDisk((leader + size.vms - i) % size.vms);
      }
      for (std::size_t i = 0; i < size.vms; ++i) c.LosePower(i);
      c.Heal();
      StartAll(c);
      CPPUNIT_ASSERT_MESSAGE(c.Describe(), Commits(c));
      CPPUNIT_ASSERT_EQUAL(std::string(), c.violation());
    }
  }

  // Guards against any order of cuts, freezes, power losses and tolerated disk
  // losses that ends a group or an acknowledged command.
  void random_faults_with_tolerated_disks_lost_group_recovers() {
    for (const fleet_size& size : {fleet_size{3, 1}, fleet_size{4, 1},
                                   fleet_size{5, 2}, fleet_size{6, 2}}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const std::string violation = loss_schedule(size, seed).Run();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::to_string(size.vms) + " VMs, seed " + std::to_string(seed),
            std::string(), violation);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(disk_loss_test);

}  // namespace marjoramsill
