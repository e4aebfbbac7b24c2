#include "process/placement/endpoint_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <string>

namespace marjoramsill {

using std::chrono::milliseconds;

class endpoint_pool_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_pool_test);
  CPPUNIT_TEST(requests_of_a_session_meet_from_all_entry_vms);
  CPPUNIT_TEST(part_of_one_request_does_not_move_its_session);
  CPPUNIT_TEST(session_that_returns_is_sent_to_its_own_home);
  CPPUNIT_TEST(endpoint_leaving_gets_nothing);
  CPPUNIT_TEST(endpoint_broken_is_avoided_and_tried_again);
  CPPUNIT_TEST(endpoint_without_sign_of_life_is_avoided);
  CPPUNIT_TEST(endpoint_failing_half_gets_less);
  CPPUNIT_TEST(endpoints_all_avoided_are_still_tried);
  CPPUNIT_TEST(endpoint_overloaded_is_passed_over);
  CPPUNIT_TEST(load_reported_counts_requests_of_others);
  CPPUNIT_TEST(load_passed_on_counts_unless_it_is_older);
  CPPUNIT_TEST(load_of_an_answer_is_passed_on_once);
  CPPUNIT_TEST(endpoint_of_own_domain_wins_between_equals);
  CPPUNIT_TEST(endpoint_new_copies_the_prefix_from_the_former_home);
  CPPUNIT_TEST(endpoint_known_to_keep_the_prefix_copies_nothing);
  CPPUNIT_TEST(endpoint_restarted_is_believed_empty);
  CPPUNIT_TEST(endpoint_gone_stays_until_its_calls_have_ended);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_record Record(int number) {
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(number));
    record.pool = model_id("chat");
    record.address = "10.0.0." + std::to_string(number + 1) + ":8080";
    record.domain = failure_domain_id("d" + std::to_string(number % 3));
    record.slots = 16;
    record.born = incarnation(1);
    record.sequence = 1;
    return record;
  }

  static endpoint_pool Pool(int endpoints, const std::string& domain = "d0") {
    placement_settings settings;
    settings.domain = failure_domain_id(domain);
    endpoint_pool pool(settings, std::mt19937_64(1));
    pool.SetCacheCapacity(token_count(1'000'000));
    for (int i = 0; i < endpoints; ++i) pool.Apply(Record(i));
    return pool;
  }

  static request_demand Demand(std::uint64_t session, std::uint64_t own) {
    request_demand demand;
    demand.parts = {{1, token_count(500)},
                    {session, token_count(10'000)},
                    {own, token_count(300)}};
    demand.prompt = token_count(10'800);
    return demand;
  }

  std::string Chosen(endpoint_pool& pool, const request_demand& demand) {
    const auto choice = pool.Choose(demand, {}, now_);
    CPPUNIT_ASSERT(choice.has_value());
    pool.NoteDemand(demand);
    return choice->endpoint->record().id.value();
  }

  endpoint_belief& Belief(endpoint_pool& pool, int number) {
    return *pool.Find(Record(number).id);
  }

  steady_time now_{milliseconds(100'000)};

 public:
  void requests_of_a_session_meet_from_all_entry_vms() {
    // Entry VMs in different failure domains know nothing of each other's
    // requests; their sessions still meet, or prefixes are computed twice.
    endpoint_pool perth = Pool(9, "d0");
    endpoint_pool bunbury = Pool(9, "d1");
    for (std::uint64_t session = 10; session < 60; ++session) {
      CPPUNIT_ASSERT_EQUAL(Chosen(perth, Demand(session, session * 7)),
                           Chosen(bunbury, Demand(session, session * 9)));
    }
  }

  void part_of_one_request_does_not_move_its_session() {
    endpoint_pool pool = Pool(9);
    const std::string home = Chosen(pool, Demand(5, 1'000));
    for (std::uint64_t own = 1'001; own < 1'040; ++own) {
      CPPUNIT_ASSERT_EQUAL(home, Chosen(pool, Demand(5, own)));
    }
  }

  void session_that_returns_is_sent_to_its_own_home() {
    // All sessions share their first parts; their last parts come again, so
    // that sessions spread over the endpoints.
    endpoint_pool pool = Pool(9);
    for (int round = 0; round < 4; ++round) {
      for (std::uint64_t own = 0; own < 60; ++own) {
        Chosen(pool, Demand(5, own));
      }
    }
    std::map<std::string, int> homes;
    for (std::uint64_t own = 0; own < 60; ++own) {
      ++homes[Chosen(pool, Demand(5, own))];
    }
    CPPUNIT_ASSERT(homes.size() > 5);
  }

  void endpoint_leaving_gets_nothing() {
    endpoint_pool pool = Pool(2);
    endpoint_record leaving = Record(0);
    leaving.phase = endpoint_phase::kLeaving;
    pool.Apply(leaving);
    for (std::uint64_t i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("e1"), Chosen(pool, Demand(i, i)));
    }
  }

  void endpoint_broken_is_avoided_and_tried_again() {
    endpoint_pool pool = Pool(2);
    Belief(pool, 0).NoteBroken(now_);
    for (std::uint64_t i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("e1"), Chosen(pool, Demand(i, i)));
    }
    now_ += milliseconds(300);
    CPPUNIT_ASSERT(!Belief(pool, 0).IsAvoided(now_));
  }

  void endpoint_without_sign_of_life_is_avoided() {
    endpoint_pool pool = Pool(2);
    Belief(pool, 0).NoteRequestSent(now_);
    now_ += milliseconds(400);
    CPPUNIT_ASSERT(!Belief(pool, 0).IsAvoided(now_));
    now_ += milliseconds(200);
    CPPUNIT_ASSERT(Belief(pool, 0).IsAvoided(now_));
    Belief(pool, 0).NoteHeard();
    CPPUNIT_ASSERT(!Belief(pool, 0).IsAvoided(now_));
  }

  void endpoint_failing_half_gets_less() {
    // Its health says that all is well.
    endpoint_pool pool = Pool(2);
    for (int i = 0; i < 40; ++i) {
      Belief(pool, 0).NoteAnswer(i % 2 == 0);
      Belief(pool, 1).NoteAnswer(true);
    }
    const request_demand plain;
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("e1"), Chosen(pool, plain));
    }
  }

  void endpoints_all_avoided_are_still_tried() {
    endpoint_pool pool = Pool(2);
    Belief(pool, 0).NoteBroken(now_);
    Belief(pool, 1).NoteBroken(now_);
    CPPUNIT_ASSERT(pool.Choose({}, {}, now_).has_value());
  }

  void endpoint_overloaded_is_passed_over() {
    // The hot session's home must not be buried.
    endpoint_pool pool = Pool(3);
    const request_demand hot = Demand(5, 1);
    const std::string home = Chosen(pool, hot);
    for (int i = 0; i < 12; ++i) pool.Find(endpoint_id(home))->NoteSent(now_);
    CPPUNIT_ASSERT(Chosen(pool, hot) != home);
  }

  void load_reported_counts_requests_of_others() {
    endpoint_pool pool = Pool(1);
    endpoint_belief& endpoint = Belief(pool, 0);
    endpoint.NoteSent(now_);
    endpoint.NoteLoad({10, 2, 16}, now_);
    endpoint.NoteSent(now_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(13, endpoint.EstimatedLoad(now_), 0.01);
    // An old report says nothing about the present.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        2, endpoint.EstimatedLoad(now_ + milliseconds(5'000)), 0.01);
  }

  void load_passed_on_counts_unless_it_is_older() {
    endpoint_pool pool = Pool(1);
    endpoint_belief& endpoint = Belief(pool, 0);
    endpoint.NoteSharedLoad({6, 0, 16}, now_ - milliseconds(300));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6, endpoint.EstimatedLoad(now_), 0.01);
    endpoint.NoteSharedLoad({2, 0, 16}, now_ - milliseconds(400));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6, endpoint.EstimatedLoad(now_), 0.01);
    // The own request of now is not in a report from before.
    endpoint.NoteSent(now_);
    endpoint.NoteSharedLoad({8, 0, 16}, now_ - milliseconds(100));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9, endpoint.EstimatedLoad(now_), 0.01);
  }

  void load_of_an_answer_is_passed_on_once() {
    endpoint_pool pool = Pool(2);
    Belief(pool, 0).NoteLoad({6, 1, 16}, now_ - milliseconds(50));
    Belief(pool, 1).NoteSharedLoad({2, 0, 16}, now_);
    std::vector<shared_load> loads;
    pool.TakeLoads(loads, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.size());
    CPPUNIT_ASSERT(loads[0].endpoint == DigestOf(Record(0).id));
    CPPUNIT_ASSERT(loads[0].age == milliseconds(50));
    loads.clear();
    pool.TakeLoads(loads, now_);
    CPPUNIT_ASSERT(loads.empty());
  }

  void endpoint_of_own_domain_wins_between_equals() {
    endpoint_pool pool = Pool(3, "d2");
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Chosen(pool, {}));
  }

  void endpoint_new_copies_the_prefix_from_the_former_home() {
    for (std::uint64_t session = 10; session < 200; ++session) {
      endpoint_pool pool = Pool(3);
      const std::string former = Chosen(pool, Demand(session, 1));
      pool.Apply(Record(3));
      const auto choice = pool.Choose(Demand(session, 2), {}, now_);
      if (choice->endpoint->record().id.value() == former) continue;
      CPPUNIT_ASSERT_EQUAL(pool.Find(endpoint_id(former))->record().address,
                           choice->fetch_from);
      return;
    }
    CPPUNIT_FAIL("no session moved to the new endpoint");
  }

  void endpoint_known_to_keep_the_prefix_copies_nothing() {
    endpoint_pool pool = Pool(3);
    const request_demand first = Demand(5, 1);
    const std::string home = Chosen(pool, first);
    pool.Find(endpoint_id(home))->prefixes().Note(first.parts);
    const auto choice = pool.Choose(Demand(5, 2), {}, now_);
    CPPUNIT_ASSERT_EQUAL(std::string(), choice->fetch_from);
  }

  void endpoint_restarted_is_believed_empty() {
    endpoint_pool pool = Pool(1);
    const request_demand demand = Demand(5, 1);
    Belief(pool, 0).prefixes().Note(demand.parts);
    endpoint_record restarted = Record(0);
    restarted.born = incarnation(2);
    pool.Apply(restarted);
    CPPUNIT_ASSERT(Belief(pool, 0).prefixes().CachedTokens(demand.parts) ==
                   token_count(0));
  }

  void endpoint_gone_stays_until_its_calls_have_ended() {
    endpoint_pool pool = Pool(2);
    Belief(pool, 0).NoteSent(now_);
    endpoint_record gone = Record(0);
    gone.phase = endpoint_phase::kGone;
    pool.Apply(gone);
    pool.Sweep();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.size());
    Belief(pool, 0).NoteEnded();
    pool.Sweep();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_pool_test);

}  // namespace marjoramsill
