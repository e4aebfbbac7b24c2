#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "cluster.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class fault {
  kRun,
  kPropose,
  kProposeMany,
  kRead,
  kKill,
  kPowerLoss,
  kStart,
  kLoseDisk,
  kCopyDisk,
  kRestoreDisk,
  kFailSync,
  kCutOneWay,
  kIsolate,
  kHeal,
  kFreeze,
  kNetwork,
  kTransfer,
  kLeave,
  kCount,
};

struct step {
  fault kind = fault::kRun;
  std::size_t vm = 0;
  std::size_t other = 0;
  int amount = 0;
};

struct schedule {
  std::uint64_t seed = 0;
  std::vector<step> steps;
};

void showValue(const step& value, std::ostream& out) {
  static const char* const kNames[] = {
      "run",        "propose",  "propose-many", "read",      "kill",
      "power-loss", "start",    "lose-disk",    "copy-disk", "restore-disk",
      "fail-sync",  "cut",      "isolate",      "heal",      "freeze",
      "network",    "transfer", "leave"};
  out << kNames[static_cast<int>(value.kind)] << "(vm=" << value.vm
      << " other=" << value.other << " amount=" << value.amount << ")";
}

cluster_options Options(std::uint64_t seed) {
  cluster_options options;
  options.seed = seed;
  options.voters = seed % 2 == 0 ? 3 : 5;
  options.domains = seed % 3 == 0 ? 4 : 3;
  // Small limits, so that short schedules reach snapshots, several segments,
  // split appends and repair.
  options.settings.compaction_entries = 8;
  options.settings.retained_entries = 2;
  options.settings.snapshot_part_bytes = 64;
  options.settings.max_append_bytes = 48;
  options.settings.max_appends_in_flight = 3;
  options.settings.demote_after = milliseconds(4000);
  options.settings.remove_after = milliseconds(8000);
  options.settings.start_check_timeout = milliseconds(3000);
  return options;
}

void Execute(cluster& c, const step& s) {
  switch (s.kind) {
    case fault::kPropose:
      c.Propose(s.vm, "c" + std::to_string(s.amount));
      break;
    case fault::kProposeMany:
      for (int i = 0; i < 12; ++i) {
        if (auto leader = c.Leader()) c.Propose(*leader, std::to_string(i));
      }
      break;
    case fault::kRead:
      c.Read(s.vm);
      break;
    case fault::kKill:
      c.Kill(s.vm);
      break;
    case fault::kPowerLoss:
      c.LosePower(s.vm);
      break;
    case fault::kStart:
      c.Start(s.vm);
      break;
    case fault::kLoseDisk:
      c.LoseDisk(s.vm);
      break;
    case fault::kCopyDisk:
      c.CopyDisk(s.vm);
      break;
    case fault::kRestoreDisk:
      c.RestoreDisk(s.vm);
      break;
    case fault::kFailSync:
      c.FailSync(s.vm);
      break;
    case fault::kCutOneWay:
      c.CutLink(s.vm, s.other);
      break;
    case fault::kIsolate:
      c.Isolate(s.vm);
      break;
    case fault::kHeal:
      c.Heal();
      break;
    case fault::kFreeze:
      c.Freeze(s.vm, milliseconds(s.amount * 10));
      break;
    case fault::kNetwork:
      c.SetNetwork(s.amount % 20, s.other * 10, s.amount % 40);
      break;
    case fault::kTransfer:
      c.Transfer(s.vm);
      break;
    case fault::kLeave:
      c.Leave(s.vm);
      break;
    default:
      c.Run(milliseconds(s.amount * 10));
      break;
  }
  c.Run(milliseconds(20 + s.amount % 100));
}

/// Ends all faults and checks that the group commits again. Returns an error
/// text or an empty string.
std::string Recover(cluster& c) {
  c.Heal();
  c.SetNetwork(0, 0, 0);
  for (std::size_t i = 0; i < c.size(); ++i) {
    c.Kill(i);
    c.Start(i);
    // The first start may fail because of an injected sync failure.
    c.Start(i);
  }
  const std::uint64_t before = c.committed();
  const auto commits = [&] {
    auto leader = c.Leader();
    if (leader && c.group(*leader)->HoldsLease()) c.Propose(*leader, "end");
    return c.committed() > before;
  };
  if (!c.RunUntil(commits, seconds(30))) return "no commit after recovery";
  c.Run(milliseconds(700));
  return {};
}

std::string RunSchedule(const schedule& plan) {
  cluster c(Options(plan.seed));
  c.RunUntil([&] { return c.Leader().has_value(); }, seconds(5));
  for (const step& s : plan.steps) {
    Execute(c, s);
    if (!c.violation().empty()) return c.violation();
  }
  std::string failed = Recover(c);
  if (!c.violation().empty()) return c.violation();
  if (!failed.empty()) failed += "\n" + c.Describe();
  return failed;
}

rc::Gen<step> GenStep() {
  const auto kind = rc::gen::map(
      rc::gen::inRange(0, static_cast<int>(fault::kCount) + 12), [](int n) {
        // Running, proposing and starting are chosen more often than faults.
        if (n < static_cast<int>(fault::kCount)) return static_cast<fault>(n);
        if (n % 3 == 0) return fault::kRun;
        return n % 3 == 1 ? fault::kProposeMany : fault::kStart;
      });
  return rc::gen::build<step>(
      rc::gen::set(&step::kind, kind),
      rc::gen::set(&step::vm, rc::gen::inRange<std::size_t>(0, 6)),
      rc::gen::set(&step::other, rc::gen::inRange<std::size_t>(0, 6)),
      rc::gen::set(&step::amount, rc::gen::inRange(0, 250)));
}

void CheckSchedules() {
  // rc::check prints the seed and the shrunk schedule when it fails.
  CPPUNIT_ASSERT(rc::check("replication keeps its invariants", [] {
    schedule plan;
    plan.seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    plan.steps = *rc::gen::container<std::vector<step>>(GenStep());
    const std::string failed = RunSchedule(plan);
    if (!failed.empty()) RC_FAIL(failed);
  }));
}

}  // namespace

class schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(schedule_test);
  CPPUNIT_TEST(schedules_with_faults_keep_invariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against violated invariants or a failed recovery after any
  // combination of kills, lost or outdated disks, cut links, frozen processes
  // and lossy networks. The number of schedules comes from RC_PARAMS, see
  // CMakeLists.txt.
  void schedules_with_faults_keep_invariants() { CheckSchedules(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(schedule_test);

}  // namespace marjoramsill
