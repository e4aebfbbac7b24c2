#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "claims/claim_world.h"

namespace marjoramsill {

class claim_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_schedule_test);
  CPPUNIT_TEST(any_schedule_runs_a_key_at_most_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against any order of crashes, losses, delays, copies and repeats
  // that runs a key twice, makes a "not run" false, changes a stored response,
  // leaves a caller without its answer or lets two members differ.
  void any_schedule_runs_a_key_at_most_once() {
    claim_world_counts counts;
    CheckProperty("claim schedules", 10000,
                  [&counts] { claim_world(*ScheduleOf(160), counts).Run(); });
    std::cerr << " runs=" << counts.runs
              << " first_responses=" << counts.first_responses
              << " stored_responses=" << counts.stored_responses
              << " not_run=" << counts.not_run << " unknown=" << counts.unknown
              << " late_grants=" << counts.late_grants;
    // Every kind of ending must be common, or the schedules show nothing.
    CPPUNIT_ASSERT(counts.runs > 1000);
    CPPUNIT_ASSERT(counts.first_responses > 500);
    CPPUNIT_ASSERT(counts.stored_responses > 100);
    CPPUNIT_ASSERT(counts.not_run > 1000);
    CPPUNIT_ASSERT(counts.unknown > 1000);
    CPPUNIT_ASSERT(counts.late_grants > 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_schedule_test);

}  // namespace marjoramsill
