#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "request/attempt_harness.h"

namespace marjoramsill {

class attempt_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_schedule_test);
  CPPUNIT_TEST(any_schedule_gives_complete_response_or_explicit_failure);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against orders of endpoint faults, timeouts and late events in which
  // a truncated, repeated or mismatched response is delivered as complete, a
  // call ends twice or never, a request is reported as "not run" although it
  // may have run, or the retry budget is exceeded.
  void any_schedule_gives_complete_response_or_explicit_failure() {
    attempt_harness_counts counts;
    CheckProperty("attempt schedules", 5000, [&counts] {
      attempt_harness(*ScheduleOf(150), counts).Run();
    });
    std::cerr << " complete=" << counts.complete
              << " complete_after_extra=" << counts.complete_after_extra
              << " aborted=" << counts.aborted << " failed=" << counts.failed
              << " resumes=" << counts.resumes << " replays=" << counts.replays;
    // Every kind of outcome must be common, or the schedules prove nothing.
    CPPUNIT_ASSERT(counts.complete > 5000);
    CPPUNIT_ASSERT(counts.complete_after_extra > 1000);
    CPPUNIT_ASSERT(counts.aborted > 1000);
    CPPUNIT_ASSERT(counts.failed > 1000);
    CPPUNIT_ASSERT(counts.resumes > 1000);
    CPPUNIT_ASSERT(counts.replays > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_schedule_test);

}  // namespace marjoramsill
