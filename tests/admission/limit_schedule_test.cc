#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <ostream>

#include "limit_network.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 5;
constexpr int kMaxCost = 300;
constexpr double kMaxLimitFactor = 2;
constexpr workspace_limit kLimit{
    .version = section_version(1), .tokens_per_second = 1000, .concurrent = 13};

struct step {
  int kind;
  std::size_t vm;
  std::size_t other;
  int amount;
};

std::ostream& operator<<(std::ostream& out, const step& event) {
  return out << "kind " << event.kind << " vm " << event.vm << " other "
             << event.other << " amount " << event.amount;
}

rc::Gen<step> AnyStep() {
  return rc::gen::construct<step>(
      rc::gen::weightedElement<int>(
          {{4, 0}, {6, 1}, {2, 2}, {1, 3}, {1, 4}, {1, 5}, {3, 6}, {4, 7}}),
      rc::gen::inRange<std::size_t>(0, kVms),
      rc::gen::inRange<std::size_t>(0, kVms), rc::gen::inRange(1, kMaxCost));
}

limit_settings ShortTimes() {
  // Short compared with the schedules, so that allocator leases and share
  // leases expire during them.
  limit_settings settings;
  settings.share_lease = milliseconds(800);
  settings.allocator_lease = milliseconds(1500);
  settings.max_request_duration = milliseconds(1000);
  settings.bytes_per_second = 100'000;
  settings.burst = seconds(1);
  return settings;
}

/// Partitions the VMs into up to three groups; `number` encodes the group of
/// each VM.
void Split(limit_network& network, int number) {
  std::array<int, kVms> group{};
  for (int& vm_group : group) {
    vm_group = number % 3;
    number /= 3;
  }
  network.blocked.clear();
  for (std::size_t from = 0; from < kVms; ++from) {
    for (std::size_t to = 0; to < kVms; ++to) {
      if (group.at(from) != group.at(to)) network.blocked.insert({from, to});
    }
  }
}

void RunStep(limit_network& network, const step& event) {
  switch (event.kind) {
    case 0:
      for (int i = 0; i < 10; ++i) {
        network.Offer(event.vm, event.amount, milliseconds(event.amount * 3));
      }
      break;
    case 1:
      network.RunFor(milliseconds(event.amount * 3));
      break;
    case 2:
      network.blocked.insert({event.vm, event.other});
      break;
    case 3:
      network.blocked.clear();
      break;
    case 4:
      network.Restart(event.vm);
      break;
    case 5:
      for (std::size_t i = 0; i < kVms; ++i) {
        network.blocked.insert({event.vm, i});
        if (event.amount > kMaxCost / 2) network.blocked.insert({i, event.vm});
      }
      // A VM can always reach itself.
      network.blocked.erase({event.vm, event.vm});
      break;
    case 6:
      Split(network, event.amount);
      break;
    default:
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        for (int i = 0; i < 10; ++i) {
          network.Offer(vm, event.amount, milliseconds(900));
        }
      }
  }
}

/// Checks the accepted cost against a token bucket with kMaxLimitFactor times
/// the rate and size of the limit. Each VM may overdraw by one request and
/// starts with its part of the burst; a restart clears an overdraft.
void CheckTokens(const limit_network& network, int restarts) {
  const double burst = kLimit.tokens_per_second;
  const double size = kMaxLimitFactor * burst + kVms * kMaxCost +
                      restarts * (burst / kVms + kMaxCost);
  double level = size;
  steady_time last;
  for (const auto& outcome : network.outcomes) {
    const double elapsed =
        std::chrono::duration<double>(outcome.at - last).count();
    last = outcome.at;
    level = std::min(size, level + kMaxLimitFactor * burst * elapsed);
    if (outcome.accepted) level -= outcome.cost;
    RC_ASSERT(level >= 0);
  }
}

void Check(const std::vector<step>& steps) {
  limit_network network(kVms, ShortTimes());
  network.SetLimit(kLimit);
  network.RunFor(seconds(3));
  std::size_t offered = 0;
  int restarts = 0;
  for (const step& event : steps) {
    RunStep(network, event);
    offered += event.kind == 0 ? 10 : 0;
    offered += event.kind == 7 ? 10 * kVms : 0;
    restarts += event.kind == 4 ? 1 : 0;
  }
  network.RunFor(seconds(1));
  RC_ASSERT(network.max_running <= kMaxLimitFactor * kLimit.concurrent);
  RC_ASSERT(network.outcomes.size() + network.lost == offered);
  CheckTokens(network, restarts);
}

}  // namespace

class limit_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_schedule_test);
  CPPUNIT_TEST(schedule_with_cuts_and_restarts_stays_within_the_factor);
  CPPUNIT_TEST(schedule_after_a_split_has_no_third_burst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against exceeding twice the limit because of one-way partitions,
  // isolated VMs or restarts, and against requests that are never decided.
  void schedule_with_cuts_and_restarts_stays_within_the_factor() {
    CPPUNIT_ASSERT(rc::check("limits", [] {
      const auto steps =
          *rc::gen::scale(2, rc::gen::container<std::vector<step>>(AnyStep()));
      Check(steps);
    }));
  }

  // Guards against an allocator that keeps the burst of a share that it has
  // granted. Regression: found with seed 78 after 5,700 schedules.
  void schedule_after_a_split_has_no_third_burst() {
    CPPUNIT_ASSERT(rc::check("found schedule", [] {
      Check({{7, 0, 0, 1},
             {1, 0, 0, 1},
             {7, 0, 0, 153},
             {7, 0, 0, 174},
             {6, 0, 0, 33},
             {1, 0, 0, 192},
             {3, 0, 0, 1},
             {1, 0, 0, 161},
             {1, 0, 0, 247},
             {7, 0, 0, 183},
             {7, 0, 0, 207}});
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_schedule_test);

}  // namespace marjoramsill
