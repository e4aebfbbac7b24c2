#include "request/attempt_rules.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {

class attempt_rules_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_rules_test);
  CPPUNIT_TEST(booking_with_unknown_outcome_is_never_retried);
  CPPUNIT_TEST(rejected_booking_is_refused_as_not_run);
  CPPUNIT_TEST(rejected_booking_is_retried_if_the_route_allows);
  CPPUNIT_TEST(unsent_booking_is_tried_elsewhere_without_budget);
  CPPUNIT_TEST(booking_after_an_unknown_outcome_is_not_reported_as_not_run);
  CPPUNIT_TEST(failed_lookup_is_retried_within_the_budget);
  CPPUNIT_TEST(failed_lookup_without_budget_forwards_the_failure);
  CPPUNIT_TEST(lookup_without_attempts_left_fails);
  CPPUNIT_TEST(interrupted_stream_is_resumed_only_if_resumable);
  CPPUNIT_TEST(request_after_its_deadline_is_not_retried);
  CPPUNIT_TEST(rules_hold_for_all_combinations_of_facts);
  CPPUNIT_TEST(request_that_may_crash_endpoints_is_not_sent_again);
  CPPUNIT_TEST_SUITE_END();

  static attempt_facts Facts(attempt_end end, bool repeatable) {
    attempt_facts facts;
    facts.end = end;
    facts.is_repeatable = repeatable;
    facts.sent = end == attempt_end::kNotSent ? 0 : 1;
    facts.max_attempts = 2;
    facts.may_have_run =
        end == attempt_end::kUnknown || end == attempt_end::kFailed;
    return facts;
  }

  static attempt_step Step(const attempt_facts& facts, bool budget = true) {
    return NextStep(facts, [budget] { return budget; });
  }

 public:
  void booking_with_unknown_outcome_is_never_retried() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kUnknown, false)) ==
                   attempt_step::kFail);
  }

  void rejected_booking_is_refused_as_not_run() {
    attempt_facts facts = Facts(attempt_end::kNotRun, false);
    facts.max_attempts = 1;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kRefuse);
  }

  void rejected_booking_is_retried_if_the_route_allows() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kNotRun, false)) ==
                   attempt_step::kTryAgain);
  }

  void unsent_booking_is_tried_elsewhere_without_budget() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kNotSent, false), false) ==
                   attempt_step::kTryAgain);
  }

  void booking_after_an_unknown_outcome_is_not_reported_as_not_run() {
    attempt_facts facts = Facts(attempt_end::kNotRun, false);
    facts.may_have_run = true;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kFail);
  }

  void failed_lookup_is_retried_within_the_budget() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kFailed, true)) ==
                   attempt_step::kTryAgain);
  }

  void failed_lookup_without_budget_forwards_the_failure() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kFailed, true), false) ==
                   attempt_step::kPassOn);
  }

  void lookup_without_attempts_left_fails() {
    attempt_facts facts = Facts(attempt_end::kUnknown, true);
    facts.sent = 2;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kFail);
  }

  void interrupted_stream_is_resumed_only_if_resumable() {
    attempt_facts facts = Facts(attempt_end::kUnknown, true);
    facts.response_started = true;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kTryAgain);
    facts.is_repeatable = false;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kCutOff);
  }

  void request_after_its_deadline_is_not_retried() {
    attempt_facts facts = Facts(attempt_end::kUnknown, true);
    facts.has_time = false;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kFail);
  }

  void request_that_may_crash_endpoints_is_not_sent_again() {
    attempt_facts facts = Facts(attempt_end::kUnknown, true);
    facts.may_crash_endpoints = true;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kFail);
    facts.response_started = true;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kCutOff);
  }

  void rules_hold_for_all_combinations_of_facts() {
    // In every combination: a request that is not repeatable and may have run
    // is not sent again, and no refusal reports a request that may have run as
    // "not run".
    for (int bits = 0; bits < 256; ++bits) {
      for (const attempt_end end :
           {attempt_end::kNotSent, attempt_end::kNotRun, attempt_end::kFailed,
            attempt_end::kUnknown}) {
        attempt_facts facts;
        facts.end = end;
        facts.is_repeatable = (bits & 1) != 0;
        facts.response_started = (bits & 2) != 0;
        facts.may_have_run = (bits & 4) != 0;
        facts.has_time = (bits & 8) != 0;
        facts.sent = 1 + (bits >> 4) % 2;
        facts.may_crash_endpoints = (bits & 128) != 0;
        const attempt_step step = Step(facts, (bits & 64) != 0);
        if (facts.may_have_run) {
          CPPUNIT_ASSERT(step != attempt_step::kRefuse);
        }
        if (facts.may_have_run && !facts.is_repeatable) {
          CPPUNIT_ASSERT(step != attempt_step::kTryAgain);
        }
        if (facts.may_crash_endpoints) {
          CPPUNIT_ASSERT(step != attempt_step::kTryAgain);
        }
        if (facts.response_started) {
          CPPUNIT_ASSERT(step == attempt_step::kTryAgain ||
                         step == attempt_step::kCutOff);
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_rules_test);

}  // namespace marjoramsill
