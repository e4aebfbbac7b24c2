#include "process/placement/speed_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "process/placement/endpoint_pool.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Stated durations of work in the choice of one entry VM.
class speed_estimate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(speed_estimate_test);
  CPPUNIT_TEST(change_is_followed_within_a_second);
  CPPUNIT_TEST(figure_is_forgotten_within_seconds);
  CPPUNIT_TEST(one_figure_moves_the_applied_factor_by_a_bounded_step);
  CPPUNIT_TEST(small_differences_change_nothing);
  CPPUNIT_TEST(pool_that_is_slow_as_a_whole_counts_as_usual);
  CPPUNIT_TEST(slow_preferred_endpoint_gives_its_prefix_to_the_other_one);
  CPPUNIT_TEST(slow_endpoint_gets_no_request_above_its_share_of_the_bound);
  CPPUNIT_TEST(restart_of_an_endpoint_clears_its_speed);
  CPPUNIT_TEST(measured_durations_count_only_where_speed_is_estimated);
  CPPUNIT_TEST(slow_endpoint_is_found_by_measured_durations);
  CPPUNIT_TEST(one_slow_request_changes_little);
  CPPUNIT_TEST(work_that_a_stated_figure_explains_counts_once);
  CPPUNIT_TEST(failures_and_refusals_are_no_evidence);
  CPPUNIT_TEST(measured_durations_of_other_vms_count_once);
  CPPUNIT_TEST(routes_with_different_work_are_compared_apart);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_record MakeRecord(int number) {
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(number));
    record.pool = model_id("chat");
    record.address = "10.0.0." + std::to_string(number + 1) + ":8080";
    record.domain = failure_domain_id("d0");
    record.slots = 16;
    record.incarnation = incarnation_number(1);
    record.sequence = 1;
    return record;
  }

  static endpoint_pool Pool(int endpoints, bool learns_speed = false) {
    placement_settings settings;
    settings.learn_endpoint_speed = learns_speed;
    settings.domain = failure_domain_id("d0");
    endpoint_pool pool(settings, std::mt19937_64(1));
    pool.SetCacheCapacity(token_count(1'000'000));
    for (int i = 0; i < endpoints; ++i) pool.Apply(MakeRecord(i));
    return pool;
  }

  endpoint_estimate& Endpoint(endpoint_pool& pool, int number) {
    return *pool.Find(MakeRecord(number).id);
  }

  static request_demand Demand(std::uint64_t own) {
    request_demand demand;
    demand.parts = {{1, token_count(10'000)}, {own, token_count(300)}};
    demand.prompt = token_count(10'300);
    return demand;
  }

  /// Reports of all endpoints every 100 ms, with this duration at the first.
  void Report(endpoint_pool& pool, milliseconds span, std::uint32_t first,
              std::uint32_t running = 4, std::uint32_t others = 100) {
    const steady_time end = now_ + span;
    for (; now_ < end; now_ += milliseconds(100)) {
      for (int i = 0; i < static_cast<int>(pool.size()); ++i) {
        Endpoint(pool, i).RecordLoad({running, 0, 16, i == 0 ? first : others},
                                     now_);
      }
      pool.HasPlace({}, now_);
    }
  }

  double Factor(endpoint_pool& pool, int number) {
    return Endpoint(pool, number).speed().factor();
  }

  /// Measured durations of all endpoints every 100 ms, with this one at the
  /// first and 40 ms at the others.
  void Work(endpoint_pool& pool, milliseconds span, milliseconds first,
            work_kind kind = work_kind::kPlain) {
    const steady_time end = now_ + span;
    for (; now_ < end; now_ += milliseconds(100)) {
      for (int i = 0; i < static_cast<int>(pool.size()); ++i) {
        pool.RecordWork(Endpoint(pool, i),
                        {kind, "look-up", i == 0 ? first : milliseconds(40)},
                        now_);
      }
      pool.HasPlace({}, now_);
    }
  }

  steady_time now_{milliseconds(100'000)};

 public:
  void change_is_followed_within_a_second() {
    endpoint_pool pool = Pool(9);
    Report(pool, milliseconds(5'000), 100);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Factor(pool, 0), 0.05);
    Report(pool, milliseconds(500), 250);
    CPPUNIT_ASSERT_GREATER(2.0, Factor(pool, 0));
    Report(pool, milliseconds(500), 100);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Factor(pool, 0), 0.1);
    Report(pool, milliseconds(1'000), 50);
    CPPUNIT_ASSERT_LESS(0.6, Factor(pool, 0));
  }

  void figure_is_forgotten_within_seconds() {
    endpoint_pool pool = Pool(9);
    Report(pool, milliseconds(300), 250);
    const steady_time end = now_ + milliseconds(4'000);
    for (; now_ < end; now_ += milliseconds(50)) pool.HasPlace({}, now_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Factor(pool, 0), 0.1);
  }

  void one_figure_moves_the_applied_factor_by_a_bounded_step() {
    endpoint_pool pool = Pool(9);
    Report(pool, milliseconds(1'000), 100);
    Report(pool, milliseconds(100), 10'000);
    CPPUNIT_ASSERT_LESS(2.01, Factor(pool, 0));
    Report(pool, milliseconds(1'000), 10'000);
    CPPUNIT_ASSERT_LESS(4.01, Factor(pool, 0));
  }

  void small_differences_change_nothing() {
    endpoint_pool pool = Pool(9);
    Report(pool, milliseconds(1'000), 104);
    CPPUNIT_ASSERT_EQUAL(1.0, Factor(pool, 0));
  }

  void pool_that_is_slow_as_a_whole_counts_as_usual() {
    endpoint_pool pool = Pool(9);
    Report(pool, milliseconds(1'000), 250, 4, 250);
    CPPUNIT_ASSERT_EQUAL(1.0, Factor(pool, 0));
    CPPUNIT_ASSERT_EQUAL(1.0, Factor(pool, 8));
  }

  void slow_preferred_endpoint_gives_its_prefix_to_the_other_one() {
    // Two endpoints, so that both are preferred by all prefixes.
    for (const std::uint32_t duration : {100U, 300U}) {
      endpoint_pool pool = Pool(2);
      int at_first = 0;
      for (std::uint64_t i = 0; i < 200; ++i) {
        Report(pool, milliseconds(100), duration);
        const auto choice = pool.Choose(Demand(i), {}, now_);
        CPPUNIT_ASSERT(choice.has_value());
        pool.RecordDemand(Demand(i));
        if (choice->endpoint == &Endpoint(pool, 0)) ++at_first;
      }
      if (duration == 100) CPPUNIT_ASSERT_GREATER(50, at_first);
      if (duration == 300) CPPUNIT_ASSERT_LESS(20, at_first);
    }
  }

  void slow_endpoint_gets_no_request_above_its_share_of_the_bound() {
    // All have four requests, below the usual bound of 7.5, but above half of
    // it. A request without a prompt would go to any of them at random.
    endpoint_pool pool = Pool(3);
    Report(pool, milliseconds(1'000), 400);
    for (int i = 0; i < 60; ++i) {
      const auto choice = pool.Choose(request_demand(), {}, now_);
      CPPUNIT_ASSERT(choice->endpoint != &Endpoint(pool, 0));
    }
    // It still serves if it is the only one left.
    placement_limits limits;
    limits.tried = {MakeRecord(1).id, MakeRecord(2).id};
    const auto last = pool.Choose(request_demand(), limits, now_);
    CPPUNIT_ASSERT(last && last->endpoint == &Endpoint(pool, 0));
    CPPUNIT_ASSERT_GREATER(1.5, last->duration_factor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.CountSlow());
  }

  void restart_of_an_endpoint_clears_its_speed() {
    endpoint_pool pool = Pool(3);
    Report(pool, milliseconds(1'000), 400);
    endpoint_record restarted = MakeRecord(0);
    restarted.incarnation = incarnation_number(2);
    pool.Apply(restarted);
    CPPUNIT_ASSERT_EQUAL(1.0, Factor(pool, 0));
  }

  void measured_durations_count_only_where_speed_is_estimated() {
    endpoint_pool pool = Pool(9);
    Work(pool, milliseconds(3'000), milliseconds(160));
    CPPUNIT_ASSERT_EQUAL(1.0, Factor(pool, 0));
    std::vector<shared_load> loads;
    pool.TakeLoads(loads, now_);
    CPPUNIT_ASSERT(loads.empty());
  }

  void slow_endpoint_is_found_by_measured_durations() {
    for (const work_kind kind :
         {work_kind::kFirstEvent, work_kind::kPause, work_kind::kPlain}) {
      endpoint_pool pool = Pool(9, true);
      Work(pool, milliseconds(3'000), milliseconds(40), kind);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Factor(pool, 0), 0.05);
      Work(pool, milliseconds(1'500), milliseconds(120), kind);
      CPPUNIT_ASSERT_GREATER(1.4, Factor(pool, 0));
      Work(pool, milliseconds(5'000), milliseconds(40), kind);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Factor(pool, 0), 0.15);
    }
  }

  void one_slow_request_changes_little() {
    // Guards against leaving an endpoint for a request that had more work.
    endpoint_pool pool = Pool(9, true);
    Work(pool, milliseconds(3'000), milliseconds(40));
    Work(pool, milliseconds(100), milliseconds(4'000));
    CPPUNIT_ASSERT_LESS(1.25, Factor(pool, 0));
  }

  void work_that_a_stated_figure_explains_counts_once() {
    endpoint_pool pool = Pool(9);
    Report(pool, milliseconds(1'000), 200);
    const double stated = Factor(pool, 0);
    for (int i = 0; i < 30; ++i) {
      Report(pool, milliseconds(100), 200);
      now_ -= milliseconds(100);
      Work(pool, milliseconds(100), milliseconds(80));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(stated, Factor(pool, 0), 0.2);
  }

  void failures_and_refusals_are_no_evidence() {
    endpoint_pool pool = Pool(9, true);
    Work(pool, milliseconds(3'000), milliseconds(40));
    for (int i = 0; i < 20; ++i) {
      Endpoint(pool, 0).OnConnectionFailure(now_);
      Endpoint(pool, 0).OnCapacityRefusal(now_);
      Endpoint(pool, 0).OnTimeout();
      Work(pool, milliseconds(100), milliseconds(40));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Factor(pool, 0), 0.05);
  }

  void measured_durations_of_other_vms_count_once() {
    // Control processes send the same sample several times.
    duration_evidence sender;
    for (int i = 0; i < 12; ++i) sender.Add(1, now_);
    const auto sample = sender.TakeSample(now_);
    CPPUNIT_ASSERT(sample && sample->count == 12);
    CPPUNIT_ASSERT(!sender.TakeSample(now_).has_value());
    duration_evidence receiver;
    receiver.AddSample(*sample, now_);
    const double weight = receiver.Weight(now_);
    CPPUNIT_ASSERT_GREATER(0.4, receiver.LogRatio(now_));
    receiver.AddSample(*sample, now_);
    CPPUNIT_ASSERT_EQUAL(weight, receiver.Weight(now_));
    const double own_weight = sender.Weight(now_);
    sender.AddSample(*sample, now_);
    CPPUNIT_ASSERT_EQUAL(own_weight, sender.Weight(now_));
    CPPUNIT_ASSERT_LESS(0.05, receiver.LogRatio(now_ + milliseconds(8'000)));
  }

  void routes_with_different_work_are_compared_apart() {
    // One endpoint gets long requests only, which must not look slow.
    endpoint_pool pool = Pool(9, true);
    for (int round = 0; round < 40; ++round) {
      now_ += milliseconds(100);
      for (int i = 0; i < 9; ++i) {
        const bool is_long = i == 0 || round % 4 == 0;
        pool.RecordWork(Endpoint(pool, i),
                        {work_kind::kPlain, is_long ? "commit" : "read",
                         milliseconds(is_long ? 60 : 15)},
                        now_);
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Factor(pool, 0), 0.05);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(speed_estimate_test);

}  // namespace marjoramsill
