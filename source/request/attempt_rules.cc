#include "request/attempt_rules.h"

namespace marjoramsill {
namespace {

bool MayTryAgain(const attempt_facts& facts) {
  if (!facts.has_time || facts.may_crash_endpoints) return false;
  if (facts.response_started && !facts.is_repeatable) return false;
  // A non-repeatable request is sent again only if it certainly has not run.
  if (facts.may_have_run && !facts.is_repeatable) return false;
  if (facts.end == attempt_end::kNotSent) return true;
  return facts.sent < facts.max_attempts;
}

/// The step that ends the call.
attempt_step FinalStep(const attempt_facts& facts) {
  if (facts.response_started) return attempt_step::kCutOff;
  if (facts.end == attempt_end::kFailed) return attempt_step::kPassOn;
  return facts.may_have_run ? attempt_step::kFail : attempt_step::kRefuse;
}

}  // namespace

attempt_step NextStep(const attempt_facts& facts,
                      const std::function<bool()>& take_retry) {
  if (!MayTryAgain(facts)) return FinalStep(facts);
  // An attempt that sent nothing put no load on an endpoint, so the next one
  // needs no retry from the budget.
  if (facts.end == attempt_end::kNotSent) return attempt_step::kTryAgain;
  return take_retry() ? attempt_step::kTryAgain : FinalStep(facts);
}

}  // namespace marjoramsill
