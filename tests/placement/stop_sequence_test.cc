#include "process/entry/stop_sequence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class stop_sequence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stop_sequence_test);
  CPPUNIT_TEST(running_process_takes_every_request);
  CPPUNIT_TEST(request_of_a_caller_is_taken_until_the_listener_closes);
  CPPUNIT_TEST(request_of_another_vm_is_taken_only_if_it_can_end);
  CPPUNIT_TEST(late_request_that_can_end_is_taken);
  CPPUNIT_TEST(responses_are_sent_after_the_end_of_the_requests);
  CPPUNIT_TEST(second_signal_changes_nothing);
  CPPUNIT_TEST_SUITE_END();

  stop_sequence stop_{seconds(8)};

  static steady_time At(milliseconds time) { return steady_time(time); }

 public:
  void running_process_takes_every_request() {
    CPPUNIT_ASSERT(stop_.CanTake(At(seconds(100)), true, At(seconds(1))));
    CPPUNIT_ASSERT(!stop_.Elapsed(At(seconds(1))));
    CPPUNIT_ASSERT(!stop_.IsOver(At(seconds(100))));
  }

  // Guards against refusals while load balancers still send new connections.
  void request_of_a_caller_is_taken_until_the_listener_closes() {
    stop_.Begin(At(seconds(1)));
    const steady_time late = At(seconds(20));
    CPPUNIT_ASSERT(stop_.CanTake(late, false, At(milliseconds(3'700))));
    CPPUNIT_ASSERT(!stop_.IsClosed(At(milliseconds(3'700))));
    CPPUNIT_ASSERT(stop_.IsClosed(At(milliseconds(3'800))));
    CPPUNIT_ASSERT(!stop_.CanTake(late, false, At(milliseconds(3'800))));
  }

  // Guards against a request that is handed on to a VM which ends before it.
  void request_of_another_vm_is_taken_only_if_it_can_end() {
    stop_.Begin(At(seconds(1)));
    const steady_time now = At(milliseconds(1'100));
    CPPUNIT_ASSERT(!stop_.CanTake(At(seconds(16)), true, now));
    CPPUNIT_ASSERT(stop_.CanTake(At(seconds(4)), true, now));
  }

  // Guards against refusals of requests that still get their answer.
  void late_request_that_can_end_is_taken() {
    stop_.Begin(At(seconds(1)));
    const steady_time now = At(seconds(5));
    CPPUNIT_ASSERT(stop_.CanTake(At(milliseconds(8'300)), false, now));
    CPPUNIT_ASSERT(!stop_.CanTake(At(milliseconds(8'400)), false, now));
  }

  // Guards against responses that are ready and end with the process.
  void responses_are_sent_after_the_end_of_the_requests() {
    stop_.Begin(At(seconds(1)));
    CPPUNIT_ASSERT(!stop_.AreRequestsOver(At(milliseconds(8'200))));
    CPPUNIT_ASSERT(stop_.AreRequestsOver(At(milliseconds(8'300))));
    CPPUNIT_ASSERT(!stop_.IsOver(At(milliseconds(8'700))));
    CPPUNIT_ASSERT(stop_.IsOver(At(milliseconds(8'800))));
  }

  // Guards against a stop that begins again, and ends after the grace period.
  void second_signal_changes_nothing() {
    stop_.Begin(At(seconds(1)));
    stop_.Begin(At(seconds(6)));
    CPPUNIT_ASSERT(stop_.Elapsed(At(seconds(7))) == milliseconds(6'000));
    CPPUNIT_ASSERT(stop_.IsOver(At(seconds(9))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_sequence_test);

}  // namespace marjoramsill
