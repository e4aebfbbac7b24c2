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
  CPPUNIT_TEST(signal_that_was_handled_late_counts_from_before);
  CPPUNIT_TEST(long_pause_before_the_signal_counts_in_part);
  CPPUNIT_TEST(second_signal_changes_nothing);
  CPPUNIT_TEST_SUITE_END();

  stop_sequence stop_{seconds(8)};

  static steady_time At(milliseconds time) { return steady_time(time); }

  void Begin(milliseconds at) { stop_.Begin(At(at), At(at)); }

 public:
  void running_process_takes_every_request() {
    CPPUNIT_ASSERT(stop_.CanTake(At(seconds(100)), true, At(seconds(1))));
    CPPUNIT_ASSERT(!stop_.Elapsed(At(seconds(1))));
    CPPUNIT_ASSERT(!stop_.IsOver(At(seconds(100))));
  }

  // Guards against refusals while load balancers still send new connections.
  void request_of_a_caller_is_taken_until_the_listener_closes() {
    Begin(seconds(1));
    const steady_time late = At(seconds(20));
    CPPUNIT_ASSERT(stop_.CanTake(late, false, At(milliseconds(3'700))));
    CPPUNIT_ASSERT(!stop_.IsClosed(At(milliseconds(3'700))));
    CPPUNIT_ASSERT(stop_.IsClosed(At(milliseconds(3'800))));
    CPPUNIT_ASSERT(!stop_.CanTake(late, false, At(milliseconds(3'800))));
  }

  // Guards against a request that is handed on to a VM which ends before it.
  void request_of_another_vm_is_taken_only_if_it_can_end() {
    Begin(seconds(1));
    const steady_time now = At(milliseconds(1'100));
    CPPUNIT_ASSERT(!stop_.CanTake(At(seconds(16)), true, now));
    CPPUNIT_ASSERT(stop_.CanTake(At(seconds(4)), true, now));
  }

  // Guards against refusals of requests that still get their answer.
  void late_request_that_can_end_is_taken() {
    Begin(seconds(1));
    const steady_time now = At(seconds(5));
    CPPUNIT_ASSERT(stop_.CanTake(At(milliseconds(8'300)), false, now));
    CPPUNIT_ASSERT(!stop_.CanTake(At(milliseconds(8'400)), false, now));
  }

  // Guards against responses that are ready and end with the process.
  void responses_are_sent_after_the_end_of_the_requests() {
    Begin(seconds(1));
    CPPUNIT_ASSERT(!stop_.AreRequestsOver(At(milliseconds(8'200))));
    CPPUNIT_ASSERT(stop_.AreRequestsOver(At(milliseconds(8'300))));
    CPPUNIT_ASSERT(!stop_.IsOver(At(milliseconds(8'700))));
    CPPUNIT_ASSERT(stop_.IsOver(At(milliseconds(8'800))));
  }

  // Guards against requests that are taken too late, and an end behind SIGKILL,
  // because the process was busy as the signal came.
  void signal_that_was_handled_late_counts_from_before() {
    stop_.Begin(At(milliseconds(1'000)), At(milliseconds(1'500)));
    CPPUNIT_ASSERT(stop_.IsClosed(At(milliseconds(3'800))));
    CPPUNIT_ASSERT(stop_.IsOver(At(milliseconds(8'800))));
  }

  // Guards against requests that are all ended at once by a signal after a long
  // pause of the process.
  void long_pause_before_the_signal_counts_in_part() {
    stop_.Begin(At(seconds(1)), At(seconds(20)));
    CPPUNIT_ASSERT(!stop_.IsClosed(At(seconds(21))));
    CPPUNIT_ASSERT(!stop_.AreRequestsOver(At(seconds(26))));
    CPPUNIT_ASSERT(stop_.IsOver(At(milliseconds(26'800))));
  }

  // Guards against a stop that begins again, and ends after the grace period.
  void second_signal_changes_nothing() {
    Begin(seconds(1));
    Begin(seconds(6));
    CPPUNIT_ASSERT(stop_.Elapsed(At(seconds(7))) == milliseconds(6'000));
    CPPUNIT_ASSERT(stop_.IsOver(At(seconds(9))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_sequence_test);

}  // namespace marjoramsill
