#include "process/placement/endpoint_terms.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "process/placement/endpoint_pool.h"
#include "process/placement/endpoint_terms_table.h"
#include "process/placement/stated_terms.h"

namespace marjoramsill {

using std::chrono::milliseconds;

class endpoint_terms_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_terms_test);
  CPPUNIT_TEST(pause_holds_until_its_end_and_a_part_longer);
  CPPUNIT_TEST(shorter_pause_does_not_end_a_longer_one);
  CPPUNIT_TEST(huge_pause_ends);
  CPPUNIT_TEST(restart_ends_a_long_pause_early);
  CPPUNIT_TEST(restart_forgets_that_no_refusals_were_limited);
  CPPUNIT_TEST(terms_outlive_a_change_of_the_pool);
  CPPUNIT_TEST(terms_of_an_endpoint_in_no_pool_expire_after_its_pause);
  CPPUNIT_TEST(endpoint_in_a_pause_is_never_chosen);
  CPPUNIT_TEST(pool_in_a_pause_names_the_first_end);
  CPPUNIT_TEST(endpoint_that_says_that_it_leaves_is_chosen_after_a_restart);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_record MakeRecord(int number) {
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(number));
    record.pool = model_id("chat");
    record.address = "10.0.0." + std::to_string(number + 1) + ":8080";
    record.slots = 16;
    record.incarnation = incarnation_number(1);
    record.sequence = 1;
    return record;
  }

  static stated_terms Pause(milliseconds length) {
    stated_terms stated;
    stated.pause = length;
    return stated;
  }

  static endpoint_terms Terms() {
    return endpoint_terms(DigestOf(endpoint_id("e0")));
  }

  steady_time now_{milliseconds(100'000)};

 public:
  // Guards against VMs that all return at the same moment.
  void pause_holds_until_its_end_and_a_part_longer() {
    for (const double spread : {0.0, 0.5, 0.999}) {
      endpoint_terms terms = Terms();
      terms.Record(Pause(milliseconds(1'000)), false, spread, now_);
      CPPUNIT_ASSERT(terms.IsPaused(now_ + milliseconds(999)));
      CPPUNIT_ASSERT(!terms.IsPaused(now_ + milliseconds(1'200)));
      const bool is_later = terms.IsPaused(now_ + milliseconds(1'050));
      CPPUNIT_ASSERT_EQUAL(spread > 0.4, is_later);
    }
  }

  void shorter_pause_does_not_end_a_longer_one() {
    endpoint_terms terms = Terms();
    terms.Record(Pause(milliseconds(5'000)), false, 0, now_);
    terms.Record(Pause(milliseconds(0)), false, 0, now_ + milliseconds(10));
    CPPUNIT_ASSERT(terms.IsPaused(now_ + milliseconds(4'900)));
  }

  void huge_pause_ends() {
    endpoint_terms terms = Terms();
    terms.Record(Pause(milliseconds::max()), false, 1, now_);
    CPPUNIT_ASSERT(terms.IsPaused(now_ + std::chrono::minutes(59)));
    CPPUNIT_ASSERT(!terms.IsPaused(now_ + std::chrono::minutes(61)));
  }

  // Guards against an endpoint that is left alone for a pause which its earlier
  // start asked for.
  void restart_ends_a_long_pause_early() {
    endpoint_terms terms = Terms();
    terms.Record(Pause(milliseconds(600'000)), false, 0, now_);
    terms.Restart();
    CPPUNIT_ASSERT(terms.IsPaused(now_ + milliseconds(2'000)));
    CPPUNIT_ASSERT(!terms.IsPaused(now_ + milliseconds(10'001)));
  }

  void restart_forgets_that_no_refusals_were_limited() {
    endpoint_terms terms = Terms();
    terms.Record({}, true, 0, now_);
    CPPUNIT_ASSERT(terms.refusal_limit() == kUnlimitedRefusals);
    terms.Restart();
    CPPUNIT_ASSERT(!terms.refusal_limit().has_value());
    stated_terms stated;
    stated.refusal_limit = 2;
    terms.Record(stated, true, 0, now_);
    terms.Restart();
    CPPUNIT_ASSERT(terms.refusal_limit() == 2U);
  }

  void terms_outlive_a_change_of_the_pool() {
    const auto table = std::make_shared<endpoint_terms_table>();
    endpoint_pool pool({}, std::mt19937_64(1), table);
    endpoint_pool other({}, std::mt19937_64(2), table);
    pool.Apply(MakeRecord(0));
    pool.Find(MakeRecord(0).id)
        ->terms()
        .Record(Pause(milliseconds(2'000)), false, 0, now_);
    endpoint_record ended = MakeRecord(0);
    ended.phase = endpoint_phase::kEnded;
    pool.Apply(ended);
    pool.Sweep();
    table->Expire(now_);
    other.Apply(MakeRecord(0));
    CPPUNIT_ASSERT(!other.Choose({}, {}, now_ + milliseconds(1'900)));
    CPPUNIT_ASSERT(other.Choose({}, {}, now_ + milliseconds(2'000)));
  }

  void terms_of_an_endpoint_in_no_pool_expire_after_its_pause() {
    endpoint_terms_table table;
    table.Of(MakeRecord(0))->Record(Pause(milliseconds(1'000)), false, 0, now_);
    table.Of(MakeRecord(1));
    table.Expire(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
    table.Expire(now_ + milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
  }

  /// Random sequences of pauses, failures, reports and restarts: no choice
  /// falls on an endpoint in the pause that its present start asked for.
  void endpoint_in_a_pause_is_never_chosen() {
    constexpr int kCount = 5;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
      std::mt19937_64 random(seed);
      endpoint_pool pool({}, std::mt19937_64(seed + 1));
      std::array<steady_time, kCount> paused_until{};
      std::array<std::uint64_t, kCount> starts{};
      for (int i = 0; i < kCount; ++i) pool.Apply(MakeRecord(i));
      for (int step = 0; step < 300; ++step) {
        now_ += milliseconds(random() % 60);
        const auto number = static_cast<std::size_t>(random() % kCount);
        const int index = static_cast<int>(number);
        endpoint_estimate& endpoint = *pool.Find(MakeRecord(index).id);
        switch (random() % 6) {
          case 0: {
            const milliseconds length(random() % 3'000);
            endpoint.terms().Record(Pause(length), false, 0.5, now_);
            paused_until[number] =
                std::max(paused_until[number], now_ + length);
            break;
          }
          case 1:
            endpoint.OnConnectionFailure(now_);
            break;
          case 2:
            endpoint.RecordLoad({3, 0, 16}, now_);
            break;
          case 3: {
            endpoint_record record = MakeRecord(index);
            record.incarnation = incarnation_number(1 + ++starts[number]);
            pool.Apply(record);
            break;
          }
          default:
            break;
        }
        const auto choice = pool.Choose({}, {}, now_);
        if (!choice) continue;
        const std::string& id = choice->endpoint->record().id.value();
        const auto chosen = static_cast<std::size_t>(std::stoi(id.substr(1)));
        CPPUNIT_ASSERT(now_ >= paused_until[chosen]);
      }
    }
  }

  void pool_in_a_pause_names_the_first_end() {
    endpoint_pool pool({}, std::mt19937_64(1));
    for (int i = 0; i < 2; ++i) pool.Apply(MakeRecord(i));
    const auto pause = [&](int number, int length) {
      pool.Find(MakeRecord(number).id)
          ->terms()
          .Record(Pause(milliseconds(length)), false, 0, now_);
    };
    pause(0, 3'000);
    CPPUNIT_ASSERT(!pool.PauseWait({}, now_));
    CPPUNIT_ASSERT(pool.CanServe({}, now_));
    pause(1, 1'200);
    CPPUNIT_ASSERT(!pool.CanServe({}, now_));
    CPPUNIT_ASSERT(pool.PauseWait({}, now_) == milliseconds(1'200));
  }

  void endpoint_that_says_that_it_leaves_is_chosen_after_a_restart() {
    endpoint_pool pool({}, std::mt19937_64(1));
    pool.Apply(MakeRecord(0));
    stated_terms leaving;
    leaving.is_leaving = true;
    pool.Find(MakeRecord(0).id)->terms().Record(leaving, true, 0, now_);
    now_ += milliseconds(60'000);
    CPPUNIT_ASSERT(!pool.Choose({}, {}, now_));
    CPPUNIT_ASSERT(!pool.PauseWait({}, now_));
    endpoint_record restarted = MakeRecord(0);
    restarted.incarnation = incarnation_number(2);
    pool.Apply(restarted);
    CPPUNIT_ASSERT(pool.Choose({}, {}, now_).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_terms_test);

}  // namespace marjoramsill
