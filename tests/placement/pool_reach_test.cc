#include "process/placement/pool_reach.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace marjoramsill {

using std::chrono::milliseconds;

class pool_reach_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pool_reach_test);
  CPPUNIT_TEST(failure_of_one_endpoint_of_many_starts_no_probe);
  CPPUNIT_TEST(failures_of_two_endpoints_start_a_probe);
  CPPUNIT_TEST(silence_while_a_response_is_owed_starts_a_probe);
  CPPUNIT_TEST(silence_without_a_request_starts_no_probe);
  CPPUNIT_TEST(long_prompt_is_probed_for_rarely);
  CPPUNIT_TEST(round_that_reaches_one_endpoint_keeps_links_up);
  CPPUNIT_TEST(round_that_reaches_none_loses_links);
  CPPUNIT_TEST(probes_of_lost_links_are_spaced_out);
  CPPUNIT_TEST(requests_return_gradually);
  CPPUNIT_TEST(failing_round_during_return_loses_links_again);
  CPPUNIT_TEST(minority_reached_twice_returns);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kServing = 9;

  steady_time now_{milliseconds(10'000)};
  pool_reach reach_;

  void Advance(milliseconds time) { now_ += time; }

  void Lose() {
    reach_.OnProbeStart();
    reach_.OnProbeEnd(0, 3, now_);
  }

  bool IsDue() const { return reach_.IsProbeDue({}, kServing, now_); }

 public:
  void failure_of_one_endpoint_of_many_starts_no_probe() {
    for (int i = 0; i < 5; ++i) reach_.OnConnectTimeout(endpoint_id("a"));
    CPPUNIT_ASSERT(!IsDue());
    CPPUNIT_ASSERT(reach_.IsProbeDue({}, 1, now_));
  }

  void failures_of_two_endpoints_start_a_probe() {
    reach_.OnConnectTimeout(endpoint_id("a"));
    reach_.OnConnected();
    reach_.OnConnectTimeout(endpoint_id("b"));
    CPPUNIT_ASSERT(!IsDue());
    reach_.OnConnectTimeout(endpoint_id("a"));
    CPPUNIT_ASSERT(IsDue());
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(!IsDue());
  }

  void silence_while_a_response_is_owed_starts_a_probe() {
    const steady_time sent = now_;
    Advance(milliseconds(150));
    reach_.OnActivity(now_);
    Advance(milliseconds(150));
    CPPUNIT_ASSERT(!reach_.IsProbeDue(sent, kServing, now_));
    Advance(milliseconds(50));
    CPPUNIT_ASSERT(reach_.IsProbeDue(sent, kServing, now_));
  }

  void silence_without_a_request_starts_no_probe() {
    Advance(milliseconds(60'000));
    CPPUNIT_ASSERT(!IsDue());
  }

  void long_prompt_is_probed_for_rarely() {
    const steady_time sent = now_;
    int probes = 0;
    for (int i = 0; i < 100; ++i) {
      Advance(milliseconds(25));
      if (!reach_.IsProbeDue(sent, kServing, now_)) continue;
      ++probes;
      reach_.OnProbeStart();
      CPPUNIT_ASSERT(!reach_.OnProbeEnd(3, 0, now_));
    }
    CPPUNIT_ASSERT(probes >= 3 && probes <= 4);
  }

  void round_that_reaches_one_endpoint_keeps_links_up() {
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(!reach_.OnProbeEnd(1, 2, now_));
    CPPUNIT_ASSERT(reach_.state(now_) == link_state::kUp);
  }

  void round_that_reaches_none_loses_links() {
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(reach_.OnProbeEnd(0, 3, now_));
    CPPUNIT_ASSERT(reach_.state(now_) == link_state::kLost);
    CPPUNIT_ASSERT_EQUAL(0.0, reach_.DirectShare(now_));
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(!reach_.OnProbeEnd(0, 3, now_));
  }

  void probes_of_lost_links_are_spaced_out() {
    Lose();
    int rounds = 0;
    for (int i = 0; i < 400; ++i) {
      Advance(milliseconds(25));
      if (!IsDue()) continue;
      ++rounds;
      Lose();
    }
    CPPUNIT_ASSERT(rounds >= 10 && rounds <= 15);
  }

  void requests_return_gradually() {
    Lose();
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(reach_.OnProbeEnd(3, 0, now_));
    CPPUNIT_ASSERT(reach_.state(now_) == link_state::kReturning);
    CPPUNIT_ASSERT_EQUAL(0.0, reach_.DirectShare(now_));
    Advance(milliseconds(500));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, reach_.DirectShare(now_), 0.01);
    Advance(milliseconds(500));
    CPPUNIT_ASSERT(reach_.state(now_) == link_state::kUp);
  }

  void failing_round_during_return_loses_links_again() {
    Lose();
    reach_.OnProbeStart();
    reach_.OnProbeEnd(3, 0, now_);
    Advance(milliseconds(300));
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(reach_.OnProbeEnd(0, 3, now_));
    CPPUNIT_ASSERT(reach_.state(now_) == link_state::kLost);
  }

  void minority_reached_twice_returns() {
    Lose();
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(!reach_.OnProbeEnd(1, 2, now_));
    reach_.OnProbeStart();
    CPPUNIT_ASSERT(reach_.OnProbeEnd(1, 2, now_));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_reach_test);

}  // namespace marjoramsill
