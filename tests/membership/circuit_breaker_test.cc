#include "process/membership/circuit_breaker.h"

#include <cppunit/extensions/HelperMacros.h>

#include "process/membership/byte_budget.h"
#include "process/membership/flap_damper.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class circuit_breaker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(circuit_breaker_test);
  CPPUNIT_TEST(breaker_open_admits_single_trials);
  CPPUNIT_TEST(breaker_failed_trials_wait_longer);
  CPPUNIT_TEST(breaker_lost_trial_is_replaced);
  CPPUNIT_TEST(damper_returns_double_the_hold);
  CPPUNIT_TEST(budget_long_run_keeps_the_rate);
  CPPUNIT_TEST_SUITE_END();

  circuit_breaker OpenBreaker() {
    circuit_breaker breaker;
    for (int i = 0; i < 3; ++i) breaker.OnFailure(t0_);
    return breaker;
  }

  const steady_time t0_{seconds(100)};

 public:
  // Guards against sending a burst of trial requests to a failing endpoint.
  void breaker_open_admits_single_trials() {
    circuit_breaker breaker = OpenBreaker();
    CPPUNIT_ASSERT(!breaker.Admit(t0_ + milliseconds(999)));
    CPPUNIT_ASSERT(breaker.Admit(t0_ + milliseconds(1000)));
    CPPUNIT_ASSERT(!breaker.Admit(t0_ + milliseconds(1000)));
    breaker.OnSuccess();
    CPPUNIT_ASSERT(breaker.Admit(t0_ + milliseconds(1001)));
    CPPUNIT_ASSERT(breaker.Admit(t0_ + milliseconds(1001)));
  }

  // Guards against trial requests at a constant rate while an endpoint is down.
  void breaker_failed_trials_wait_longer() {
    circuit_breaker breaker = OpenBreaker();
    CPPUNIT_ASSERT(breaker.Admit(t0_ + seconds(1)));
    breaker.OnFailure(t0_ + seconds(1));
    CPPUNIT_ASSERT(!breaker.WouldAdmit(t0_ + milliseconds(2999)));
    CPPUNIT_ASSERT(breaker.WouldAdmit(t0_ + seconds(3)));
  }

  // Guards against a lost trial result that keeps the circuit open forever.
  void breaker_lost_trial_is_replaced() {
    circuit_breaker breaker = OpenBreaker();
    CPPUNIT_ASSERT(breaker.Admit(t0_ + seconds(1)));
    CPPUNIT_ASSERT(!breaker.Admit(t0_ + milliseconds(10999)));
    CPPUNIT_ASSERT(breaker.Admit(t0_ + seconds(11)));
  }

  // Guards against sending work to a flapping endpoint at each return, and
  // against holding an endpoint down for minutes because of an old restart.
  void damper_returns_double_the_hold() {
    flap_damper damper;
    CPPUNIT_ASSERT(!damper.IsHeld(t0_));
    damper.OnReturn(t0_);
    CPPUNIT_ASSERT(damper.held_until() == t0_ + seconds(1));
    damper.OnReturn(t0_ + seconds(10));
    CPPUNIT_ASSERT(damper.held_until() == t0_ + seconds(12));
    for (int i = 0; i < 10; ++i) damper.OnReturn(t0_ + seconds(20));
    CPPUNIT_ASSERT(damper.held_until() == t0_ + seconds(80));
    damper.OnReturn(t0_ + seconds(500));
    CPPUNIT_ASSERT(damper.held_until() == t0_ + seconds(501));
  }

  // Guards against rounding that admits more bytes than the rate allows.
  void budget_long_run_keeps_the_rate() {
    byte_budget budget(600, 1200);
    std::int64_t taken = 0;
    for (int ms = 0; ms < 100000; ms += 7) {
      if (budget.TryTake(320, t0_ + milliseconds(ms))) taken += 320;
    }
    CPPUNIT_ASSERT(taken <= 600 * 100 + 1200);
    CPPUNIT_ASSERT(taken >= 600 * 99);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(circuit_breaker_test);

}  // namespace marjoramsill
