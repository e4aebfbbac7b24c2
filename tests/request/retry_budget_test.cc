#include "request/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "request/call_result.h"

namespace marjoramsill {

class retry_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_budget_test);
  CPPUNIT_TEST(extra_attempts_stay_within_tenth_and_reserve);
  CPPUNIT_TEST(reserve_does_not_grow_while_nothing_fails);
  CPPUNIT_TEST(retry_after_is_jittered);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a retry storm when most attempts fail.
  void extra_attempts_stay_within_tenth_and_reserve() {
    retry_budget budget;
    for (int i = 0; i < 1000; ++i) {
      budget.CountFirstAttempt();
      for (int k = 0; k < 3; ++k) budget.TakeExtraAttempt();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{109}, budget.extra_attempts());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, budget.reserve_used());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000 - 109}, budget.denied_attempts());
  }

  // Guards against unused retries that accumulate over hours and then allow one
  // large burst.
  void reserve_does_not_grow_while_nothing_fails() {
    retry_budget budget;
    for (int i = 0; i < 100000; ++i) budget.CountFirstAttempt();
    std::uint64_t burst = 0;
    while (budget.TakeExtraAttempt()) ++burst;
    CPPUNIT_ASSERT_EQUAL(retry_budget::kRetryReserve, burst);
  }

  // Guards against refused callers that all retry at the same time.
  void retry_after_is_jittered() {
    std::uint64_t bits = 0;
    std::set<std::chrono::seconds> seen;
    for (; bits < 50; ++bits) {
      seen.insert(
          JitteredRetryAfter(std::chrono::seconds(4), [&] { return bits; }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, seen.size());
    CPPUNIT_ASSERT(*seen.begin() == std::chrono::seconds(4));
    CPPUNIT_ASSERT(*seen.rbegin() == std::chrono::seconds(8));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);

}  // namespace marjoramsill
