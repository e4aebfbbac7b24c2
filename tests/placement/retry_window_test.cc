#include "process/placement/retry_window.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <vector>

namespace marjoramsill {

using std::chrono::milliseconds;

class retry_window_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_window_test);
  CPPUNIT_TEST(fleet_stays_within_the_budget_in_every_window);
  CPPUNIT_TEST(unused_budget_does_not_accumulate);
  CPPUNIT_TEST(budget_is_restored_after_an_idle_period);
  CPPUNIT_TEST_SUITE_END();

 public:
  void fleet_stays_within_the_budget_in_every_window() {
    // Six entry VMs with uneven traffic try to retry every request. The retries
    // in any window must not exceed the fleet's budget.
    constexpr std::uint32_t kEntries = 6;
    const retry_settings settings;
    std::vector<retry_window> windows(kEntries, retry_window(settings));
    std::mt19937 random(20261203);
    struct arrival {
      steady_time at;
      bool retry;
    };
    std::deque<arrival> recent;
    steady_time now{milliseconds(1'000'000)};
    for (int i = 0; i < 60'000; ++i) {
      now += milliseconds(random() % 10);
      retry_window& own = windows[(random() % 36) / 6 % (1 + random() % 6)];
      own.RecordRequest(now);
      recent.push_back({now, false});
      if (own.TakeRetry(kEntries, now)) recent.push_back({now, true});
      while (now - recent.front().at > settings.window) recent.pop_front();
      double requests = 0;
      double retries = 0;
      for (const arrival& each : recent) (each.retry ? retries : requests) += 1;
      CPPUNIT_ASSERT(retries <= settings.ratio * requests + settings.allowance);
    }
  }

  void unused_budget_does_not_accumulate() {
    retry_window window({});
    steady_time now{milliseconds(1'000'000)};
    for (int i = 0; i < 10'000; ++i) window.RecordRequest(now);
    now += milliseconds(20'000);
    int taken = 0;
    while (window.TakeRetry(1, now)) ++taken;
    CPPUNIT_ASSERT(taken <= 52);
  }

  void budget_is_restored_after_an_idle_period() {
    retry_window window({});
    steady_time now{milliseconds(1'000'000)};
    while (window.TakeRetry(1, now)) {
    }
    now += milliseconds(123'456);
    CPPUNIT_ASSERT(window.TakeRetry(1, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_window_test);

}  // namespace marjoramsill
