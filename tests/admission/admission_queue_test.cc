#include "process/admission/admission_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fake_capacity.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLong(1'000'000);
constexpr admission_capacity kTenAtATime{.cost = cost_units(1000),
                                         .concurrency = 10};

double Ratio(std::uint64_t numerator, std::uint64_t denominator) {
  return static_cast<double>(numerator) / static_cast<double>(denominator);
}

}  // namespace

class admission_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_queue_test);
  CPPUNIT_TEST(urgent_flood_leaves_other_ranks_their_shares);
  CPPUNIT_TEST(urgent_arrival_overtakes_background_flood);
  CPPUNIT_TEST(unused_shares_go_to_the_rank_that_waits);
  CPPUNIT_TEST(weights_split_cost_not_requests);
  CPPUNIT_TEST(idle_workspace_builds_no_credit);
  CPPUNIT_TEST(understated_cost_is_charged_later);
  CPPUNIT_TEST(full_workspace_queue_leaves_capacity_for_others);
  CPPUNIT_TEST(request_that_cannot_meet_its_deadline_is_rejected_on_arrival);
  CPPUNIT_TEST(capacity_loss_rejects_late_requests_at_once);
  CPPUNIT_TEST(lost_capacity_rejects_after_the_grace_time);
  CPPUNIT_TEST(retry_after_is_jittered_around_the_backlog);
  CPPUNIT_TEST(stale_ticket_is_refused);
  CPPUNIT_TEST(invalid_offer_is_refused);
  CPPUNIT_TEST_SUITE_END();

  static void Flood(fake_capacity& fake, rank rank, std::uint64_t workspace,
                    int count, std::uint64_t cost = 100) {
    for (int i = 0; i < count; ++i) {
      fake.Offer(rank, workspace, cost, milliseconds(100), kLong);
    }
  }

 public:
  // Guards against urgent work that starves the other ranks.
  void urgent_flood_leaves_other_ranks_their_shares() {
    admission_policy policy;
    for (auto& entry : policy.ranks) entry.max_queued_per_workspace = 10'000;
    fake_capacity fake(policy, kTenAtATime);
    for (rank rank : {rank::kUrgent, rank::kStandard, rank::kBackground}) {
      Flood(fake, rank, 1, 2000);
    }
    fake.RunFor(milliseconds(10'000));
    const std::uint64_t urgent = fake.AdmittedCost(rank::kUrgent);
    const std::uint64_t standard = fake.AdmittedCost(rank::kStandard);
    const std::uint64_t background = fake.AdmittedCost(rank::kBackground);
    const std::uint64_t all = urgent + standard + background;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Ratio(standard, all), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, Ratio(background, all), 0.01);
  }

  // Guards against urgent work that queues behind an earlier flood.
  void urgent_arrival_overtakes_background_flood() {
    fake_capacity fake({}, kTenAtATime);
    Flood(fake, rank::kBackground, 1, 200);
    fake.RunFor(milliseconds(50));
    const auto urgent = fake.Offer(rank::kUrgent, 2, 100, milliseconds(100),
                                   milliseconds(1000));
    fake.RunFor(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(1, fake.requests.at(urgent).admitted);
  }

  // Guards against capacity that is reserved for a rank without work.
  void unused_shares_go_to_the_rank_that_waits() {
    fake_capacity fake({}, kTenAtATime);
    Flood(fake, rank::kBackground, 1, 250);
    fake.RunFor(milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20'000},
                         fake.AdmittedCost(rank::kBackground));
  }

  // Guards against fairness by request count, which favours large requests.
  void weights_split_cost_not_requests() {
    admission_policy policy;
    policy.ranks[1].max_queued_per_workspace = 10'000;
    fake_capacity fake(policy, kTenAtATime);
    for (int i = 0; i < 2000; ++i) {
      fake.Offer(rank::kStandard, 1, 20, milliseconds(100), kLong, 1);
      fake.Offer(rank::kStandard, 2, 200, milliseconds(100), kLong, 1);
      fake.Offer(rank::kStandard, 3, 50, milliseconds(100), kLong, 2);
    }
    fake.RunFor(milliseconds(10'000));
    const auto first = fake.AdmittedCostOf(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Ratio(fake.AdmittedCostOf(2), first), 0.05);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, Ratio(fake.AdmittedCostOf(3), first), 0.1);
  }

  // Guards against a workspace that saves up a burst by being idle.
  void idle_workspace_builds_no_credit() {
    admission_policy policy;
    policy.ranks[1].max_queued_per_workspace = 10'000;
    fake_capacity fake(policy, kTenAtATime);
    Flood(fake, rank::kStandard, 1, 3000);
    fake.RunFor(milliseconds(5'000));
    const auto before = fake.AdmittedCostOf(1);
    Flood(fake, rank::kStandard, 2, 3000);
    fake.RunFor(milliseconds(1'000));
    const auto first = fake.AdmittedCostOf(1) - before;
    const auto second = fake.AdmittedCostOf(2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Ratio(second, first), 0.1);
  }

  // Guards against a workspace that gains capacity by understating its costs.
  void understated_cost_is_charged_later() {
    admission_policy policy;
    policy.ranks[1].max_queued_per_workspace = 10'000;
    fake_capacity fake(policy, kTenAtATime);
    fake.actual_cost = [](const admission_offer& offer) {
      return cost_units(offer.workspace.value() == 1 ? 100 : 25);
    };
    Flood(fake, rank::kStandard, 1, 4000, 25);
    Flood(fake, rank::kStandard, 2, 4000, 25);
    fake.RunFor(milliseconds(10'000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        4, Ratio(fake.AdmittedCostOf(2), fake.AdmittedCostOf(1)), 0.4);
  }

  // Guards against a workspace's backlog that fills the queue for all others.
  void full_workspace_queue_leaves_capacity_for_others() {
    admission_policy policy;
    policy.ranks[1] = {
        .share = 0.25, .max_queued_per_workspace = 100, .max_queued = 150};
    fake_capacity fake(policy, kTenAtATime);
    Flood(fake, rank::kStandard, 1, 500);
    Flood(fake, rank::kStandard, 2, 500);
    const auto last = fake.requests.size() - 1;
    CPPUNIT_ASSERT(fake.requests.at(last).rejection.kind ==
                   rejection_kind::kWorkspaceQueueFull);
    const auto third =
        fake.Offer(rank::kStandard, 3, 100, milliseconds(100), kLong);
    CPPUNIT_ASSERT_EQUAL(0, fake.requests.at(third).rejected);
  }

  // Guards against queueing requests that cannot meet their deadline.
  void request_that_cannot_meet_its_deadline_is_rejected_on_arrival() {
    fake_capacity fake({}, kTenAtATime);
    const auto impossible =
        fake.Offer(rank::kUrgent, 1, 100, milliseconds(100), milliseconds(99));
    CPPUNIT_ASSERT(fake.requests.at(impossible).rejection.kind ==
                   rejection_kind::kDeadline);
    // 110 requests at 100 per second: 10 run, 100 are queued for about 1 s.
    Flood(fake, rank::kStandard, 1, 110);
    const auto late = fake.Offer(rank::kStandard, 1, 100, milliseconds(100),
                                 milliseconds(800));
    CPPUNIT_ASSERT(fake.requests.at(late).rejection.kind ==
                   rejection_kind::kDeadline);
    const auto in_time = fake.Offer(rank::kStandard, 1, 100, milliseconds(100),
                                    milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(0, fake.requests.at(in_time).rejected);
    fake.RunFor(milliseconds(1300));
    CPPUNIT_ASSERT(fake.requests.at(in_time).finished);
  }

  // Guards against rejections that are delayed until shortly before the
  // deadline.
  void capacity_loss_rejects_late_requests_at_once() {
    fake_capacity fake({}, kTenAtATime);
    Flood(fake, rank::kStandard, 1, 10);
    std::uint64_t last = 0;
    for (int i = 0; i < 200; ++i) {
      last = fake.Offer(rank::kStandard, 1, 100, milliseconds(100),
                        milliseconds(2500));
    }
    fake.RunFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, fake.requests.at(last).rejected);
    fake.SetCapacity({.cost = cost_units(100), .concurrency = 1});
    fake.RunFor(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, fake.requests.at(last).rejected);
  }

  // Guards against requests that wait for capacity that does not return, and
  // against rejections during a short loss of capacity.
  void lost_capacity_rejects_after_the_grace_time() {
    fake_capacity fake({}, kTenAtATime);
    Flood(fake, rank::kStandard, 1, 20);
    fake.SetCapacity({});
    fake.RunFor(milliseconds(1'900));
    CPPUNIT_ASSERT_EQUAL(0, fake.requests.at(19).rejected);
    fake.RunFor(milliseconds(200));
    CPPUNIT_ASSERT(fake.requests.at(19).rejection.kind ==
                   rejection_kind::kNoCapacity);
    const auto after =
        fake.Offer(rank::kUrgent, 1, 100, milliseconds(100), kLong);
    CPPUNIT_ASSERT_EQUAL(1, fake.requests.at(after).rejected);
  }

  // Guards against callers that all retry at the same time or long before the
  // backlog is served.
  void retry_after_is_jittered_around_the_backlog() {
    admission_policy policy;
    policy.ranks[1].max_queued_per_workspace = 1000;
    fake_capacity fake(policy, kTenAtATime);
    Flood(fake, rank::kStandard, 1, 1010);  // Backlog: 10 s.
    double sum = 0;
    double lowest = 1e9;
    double highest = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto number = fake.Offer(rank::kStandard, 1, 100, milliseconds(100),
                                     milliseconds(200));
      const double seconds = std::chrono::duration<double>(
                                 fake.requests.at(number).rejection.retry_after)
                                 .count();
      sum += seconds;
      lowest = std::min(lowest, seconds);
      highest = std::max(highest, seconds);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, sum / 1000, 0.5);
    CPPUNIT_ASSERT(lowest >= 5 && lowest < 5.5);
    CPPUNIT_ASSERT(highest <= 15 && highest > 14.5);
  }

  // Guards against a stale ticket that finishes the request in a reused entry.
  void stale_ticket_is_refused() {
    fake_capacity fake({}, kTenAtATime);
    Flood(fake, rank::kStandard, 1, 11);
    const admission_ticket first = fake.tickets.at(0);
    admission_actions actions;
    CPPUNIT_ASSERT(!fake.queue.Cancel(first));
    CPPUNIT_ASSERT(fake.queue.Finish(first, cost_units(1), fake.now, actions));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(!fake.queue.Finish(first, cost_units(1), fake.now, actions));
  }

  // Guards against a division by a cost or weight of 0.
  void invalid_offer_is_refused() {
    fake_capacity fake({}, kTenAtATime);
    const auto free = fake.Offer(rank::kUrgent, 1, 0, milliseconds(1), kLong);
    CPPUNIT_ASSERT(fake.requests.at(free).rejection.kind ==
                   rejection_kind::kInvalid);
    const auto weightless =
        fake.Offer(rank::kUrgent, 1, 1, milliseconds(1), kLong, 0);
    CPPUNIT_ASSERT(fake.requests.at(weightless).rejection.kind ==
                   rejection_kind::kInvalid);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_queue_test);

}  // namespace marjoramsill
