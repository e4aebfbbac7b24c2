#include "process/directory/record_coverage.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace marjoramsill {

using std::chrono::milliseconds;

/// The period that statements of several control processes add up to.
class record_coverage_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_coverage_test);
  CPPUNIT_TEST(no_statement_covers_nothing);
  CPPUNIT_TEST(process_covers_nothing_before_all_heartbeats_arrived);
  CPPUNIT_TEST(statements_that_overlap_cover_one_period);
  CPPUNIT_TEST(statement_after_a_gap_covers_nothing_before_it);
  CPPUNIT_TEST(gap_that_another_process_closes_is_covered);
  CPPUNIT_TEST(gap_that_stays_open_ends_the_earlier_period);
  CPPUNIT_TEST_SUITE_END();

  static steady_time At(int ms) { return steady_time(milliseconds(ms)); }

  record_coverage coverage_;

 public:
  void no_statement_covers_nothing() {
    CPPUNIT_ASSERT(!coverage_.ReachesBackTo(At(1'000)));
  }

  // Guards against an endpoint that ended before its first heartbeat to a
  // control process that had just started.
  void process_covers_nothing_before_all_heartbeats_arrived() {
    coverage_.Add(At(1'000), At(4'000));
    CPPUNIT_ASSERT(!coverage_.ReachesBackTo(At(4'000)));
    coverage_.Add(At(1'000), At(9'000));
    CPPUNIT_ASSERT(coverage_.ReachesBackTo(At(4'200)));
    CPPUNIT_ASSERT(!coverage_.ReachesBackTo(At(4'199)));
  }

  void statements_that_overlap_cover_one_period() {
    coverage_.Add(At(1'000), At(9'000));
    coverage_.Add(At(5'000), At(20'000));
    CPPUNIT_ASSERT(coverage_.ReachesBackTo(At(4'200)));
  }

  // Guards against endpoints that came and went between what two runs of the
  // control processes know.
  void statement_after_a_gap_covers_nothing_before_it() {
    coverage_.Add(At(1'000), At(9'000));
    coverage_.Add(At(9'100), At(9'500));
    CPPUNIT_ASSERT(!coverage_.ReachesBackTo(At(8'000)));
  }

  // Guards against refusals after the restart of a single control process.
  void gap_that_another_process_closes_is_covered() {
    coverage_.Add(At(1'000), At(9'000));
    coverage_.Add(At(9'100), At(9'500));
    coverage_.Add(At(1'000), At(9'600));
    CPPUNIT_ASSERT(coverage_.ReachesBackTo(At(4'200)));
  }

  // Guards against an entry VM that never knows a period again after a restart
  // of all control processes.
  void gap_that_stays_open_ends_the_earlier_period() {
    coverage_.Add(At(1'000), At(9'000));
    coverage_.Add(At(9'100), At(9'500));
    coverage_.Add(At(9'100), At(13'000));
    CPPUNIT_ASSERT(coverage_.ReachesBackTo(At(12'300)));
    CPPUNIT_ASSERT(!coverage_.ReachesBackTo(At(9'100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_coverage_test);

}  // namespace marjoramsill
