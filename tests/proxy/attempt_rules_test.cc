#include "request/attempt_rules.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {

class attempt_rules_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_rules_test);
  CPPUNIT_TEST(booking_unknown_is_never_sent_again);
  CPPUNIT_TEST(booking_rejected_is_refused_as_not_run);
  CPPUNIT_TEST(booking_rejected_may_go_elsewhere_if_the_route_allows);
  CPPUNIT_TEST(booking_not_sent_goes_elsewhere_without_budget);
  CPPUNIT_TEST(booking_after_an_unknown_outcome_is_not_called_not_run);
  CPPUNIT_TEST(lookup_failed_is_tried_again_within_the_budget);
  CPPUNIT_TEST(lookup_failed_without_budget_passes_the_failure_on);
  CPPUNIT_TEST(lookup_out_of_attempts_fails);
  CPPUNIT_TEST(stream_begun_is_resumed_only_if_it_may_be);
  CPPUNIT_TEST(request_out_of_time_is_not_tried_again);
  CPPUNIT_TEST(rules_hold_for_all_facts);
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
  void booking_unknown_is_never_sent_again() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kUnknown, false)) ==
                   attempt_step::kFail);
  }

  void booking_rejected_is_refused_as_not_run() {
    attempt_facts facts = Facts(attempt_end::kNotRun, false);
    facts.max_attempts = 1;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kRefuse);
  }

  void booking_rejected_may_go_elsewhere_if_the_route_allows() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kNotRun, false)) ==
                   attempt_step::kTryAgain);
  }

  void booking_not_sent_goes_elsewhere_without_budget() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kNotSent, false), false) ==
                   attempt_step::kTryAgain);
  }

  void booking_after_an_unknown_outcome_is_not_called_not_run() {
    attempt_facts facts = Facts(attempt_end::kNotRun, false);
    facts.may_have_run = true;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kFail);
  }

  void lookup_failed_is_tried_again_within_the_budget() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kFailed, true)) ==
                   attempt_step::kTryAgain);
  }

  void lookup_failed_without_budget_passes_the_failure_on() {
    CPPUNIT_ASSERT(Step(Facts(attempt_end::kFailed, true), false) ==
                   attempt_step::kPassOn);
  }

  void lookup_out_of_attempts_fails() {
    attempt_facts facts = Facts(attempt_end::kUnknown, true);
    facts.sent = 2;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kFail);
  }

  void stream_begun_is_resumed_only_if_it_may_be() {
    attempt_facts facts = Facts(attempt_end::kUnknown, true);
    facts.answer_begun = true;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kTryAgain);
    facts.is_repeatable = false;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kCutOff);
  }

  void request_out_of_time_is_not_tried_again() {
    attempt_facts facts = Facts(attempt_end::kUnknown, true);
    facts.has_time = false;
    CPPUNIT_ASSERT(Step(facts) == attempt_step::kFail);
  }

  void rules_hold_for_all_facts() {
    // Every combination: a request that may run once and may have run is not
    // sent again, and no refusal says "not run" of one that may have run.
    for (int bits = 0; bits < 128; ++bits) {
      for (const attempt_end end :
           {attempt_end::kNotSent, attempt_end::kNotRun, attempt_end::kFailed,
            attempt_end::kUnknown}) {
        attempt_facts facts;
        facts.end = end;
        facts.is_repeatable = (bits & 1) != 0;
        facts.answer_begun = (bits & 2) != 0;
        facts.may_have_run = (bits & 4) != 0;
        facts.has_time = (bits & 8) != 0;
        facts.sent = 1 + (bits >> 4) % 2;
        const attempt_step step = Step(facts, (bits & 64) != 0);
        if (facts.may_have_run) {
          CPPUNIT_ASSERT(step != attempt_step::kRefuse);
        }
        if (facts.may_have_run && !facts.is_repeatable) {
          CPPUNIT_ASSERT(step != attempt_step::kTryAgain);
        }
        if (facts.answer_begun) {
          CPPUNIT_ASSERT(step == attempt_step::kTryAgain ||
                         step == attempt_step::kCutOff);
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_rules_test);

}  // namespace marjoramsill
