#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>
#include <vector>

#include "fake_capacity.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMaxCost = 200;

struct step {
  int kind;
  int rank;
  std::uint64_t workspace;
  std::uint64_t cost;
  int service_ms;
  int deadline_ms;
};

rc::Gen<step> AnyStep() {
  return rc::gen::construct<step>(
      rc::gen::weightedElement<int>({{8, 0}, {3, 1}, {1, 2}, {1, 3}, {2, 4}}),
      rc::gen::inRange(0, 3), rc::gen::inRange<std::uint64_t>(0, 5),
      rc::gen::inRange<std::uint64_t>(1, kMaxCost + 1),
      rc::gen::inRange(1, 200), rc::gen::inRange(1, 3000));
}

/// Runs a schedule and checks the invariants after every step.
class schedule_run {
 public:
  explicit schedule_run(bool exact_cost)
      : fake_({}, {.cost = cost_units(500), .concurrency = 5}) {
    if (exact_cost) return;
    fake_.actual_cost = [](const admission_offer& offer) {
      return cost_units(offer.cost.value() * 7919 % (2 * kMaxCost) + 1);
    };
  }

  void RunStep(const step& action) {
    const bool urgent_waits = fake_.queue.queued(rank::kUrgent) > 0;
    const std::uint64_t lower_before = LowerRankCost();
    const std::uint64_t total_before =
        lower_before + fake_.AdmittedCost(rank::kUrgent);
    Apply(action);
    if (urgent_waits && fake_.queue.queued(rank::kUrgent) > 0) {
      lower_cost_ += LowerRankCost() - lower_before;
      total_cost_ +=
          LowerRankCost() + fake_.AdmittedCost(rank::kUrgent) - total_before;
    } else {
      lower_cost_ = 0;
      total_cost_ = 0;
    }
    CheckWorkConserved();
  }

  /// While urgent requests are queued, the other ranks get their shares (0.30
  /// in total) plus at most one request each.
  void CheckSharesOnly() const {
    RC_ASSERT(static_cast<double>(lower_cost_) <=
              0.30 * static_cast<double>(total_cost_) + 2 * kMaxCost);
  }

  void CheckOutcomes() {
    fake_.SetCapacity({.cost = cost_units(500), .concurrency = 5});
    fake_.RunFor(milliseconds(60'000));
    for (const auto& [number, record] : fake_.requests) {
      const int cancelled = cancelled_.count(number) > 0 ? 1 : 0;
      RC_ASSERT(record.admitted + record.rejected + cancelled == 1);
      RC_ASSERT(record.finished == (record.admitted == 1));
      const steady_time latest =
          record.offer.deadline - record.offer.expected_service;
      // A request with an impossible deadline is rejected on arrival.
      const steady_time decided = record.offered + record.wait;
      RC_ASSERT(decided == record.offered ||
                decided <= latest + milliseconds(90));
      if (record.admitted == 1) RC_ASSERT(decided <= latest);
    }
  }

 private:
  std::uint64_t LowerRankCost() const {
    return fake_.AdmittedCost(rank::kStandard) +
           fake_.AdmittedCost(rank::kBackground);
  }
  void Apply(const step& action) {
    switch (action.kind) {
      case 0:
        fake_.Offer(static_cast<rank>(action.rank), action.workspace,
                    action.cost, milliseconds(action.service_ms),
                    milliseconds(action.deadline_ms),
                    static_cast<double>(action.workspace + 1));
        break;
      case 1:
        fake_.FinishFirst();
        break;
      case 2:
        capacity_ = {
            .cost = cost_units(action.cost * 5 * (action.rank > 0 ? 1 : 0)),
            .concurrency = static_cast<std::uint32_t>(action.rank * 3)};
        fake_.SetCapacity(capacity_);
        break;
      case 3:
        Cancel(action.cost);
        break;
      default:
        fake_.RunFor(milliseconds(action.service_ms));
    }
  }
  void Cancel(std::uint64_t pick) {
    if (fake_.requests.empty()) return;
    const std::uint64_t number = pick % fake_.requests.size();
    if (fake_.tickets.count(number) == 0) return;
    if (fake_.Cancel(number)) cancelled_.insert(number);
  }
  void CheckWorkConserved() const {
    std::size_t queued = 0;
    for (const rank queue_rank :
         {rank::kUrgent, rank::kStandard, rank::kBackground}) {
      queued += fake_.queue.queued(queue_rank);
    }
    if (queued == 0) return;
    RC_ASSERT(fake_.queue.running() >= capacity_.concurrency ||
              fake_.queue.running_cost() >= capacity_.cost);
  }

  fake_capacity fake_;
  admission_capacity capacity_{.cost = cost_units(500), .concurrency = 5};
  std::set<std::uint64_t> cancelled_;
  std::uint64_t lower_cost_ = 0;
  std::uint64_t total_cost_ = 0;
};

bool CheckSchedules(const char* what, bool exact_cost) {
  return rc::check(what, [exact_cost] {
    const auto steps =
        *rc::gen::scale(4, rc::gen::container<std::vector<step>>(AnyStep()));
    schedule_run run(exact_cost);
    for (const step& action : steps) {
      run.RunStep(action);
      if (exact_cost) run.CheckSharesOnly();
    }
    run.CheckOutcomes();
  });
}

}  // namespace

class admission_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_schedule_test);
  CPPUNIT_TEST(schedule_exact_costs_keeps_urgent_first);
  CPPUNIT_TEST(schedule_wrong_costs_decides_each_request_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against idle capacity while requests are queued, lost or duplicate
  // outcomes, late rejections, and less urgent ranks that get more than their
  // shares while urgent requests are queued.
  void schedule_exact_costs_keeps_urgent_first() {
    CPPUNIT_ASSERT(CheckSchedules("exact costs", true));
  }

  // Guards against the same failures, except for the shares, when actual costs
  // differ from the estimates.
  void schedule_wrong_costs_decides_each_request_once() {
    CPPUNIT_ASSERT(CheckSchedules("wrong costs", false));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_schedule_test);

}  // namespace marjoramsill
