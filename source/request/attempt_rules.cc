#include "request/attempt_rules.h"

namespace marjoramsill {
namespace {

bool MayTryAgain(const attempt_facts& facts) {
  if (!facts.has_time) return false;
  if (facts.answer_begun && !facts.is_repeatable) return false;
  // A request that may run once is only sent again when it certainly did not.
  if (facts.may_have_run && !facts.is_repeatable) return false;
  if (facts.end == attempt_end::kNotSent) return true;
  return facts.sent < facts.max_attempts;
}

attempt_step Conclusion(const attempt_facts& facts) {
  if (facts.answer_begun) return attempt_step::kCutOff;
  if (facts.end == attempt_end::kFailed) return attempt_step::kPassOn;
  return facts.may_have_run ? attempt_step::kFail : attempt_step::kRefuse;
}

}  // namespace

attempt_step NextStep(const attempt_facts& facts,
                      const std::function<bool()>& take_retry) {
  if (!MayTryAgain(facts)) return Conclusion(facts);
  // An attempt that sent nothing has used nothing of the budget.
  if (facts.end == attempt_end::kNotSent) return attempt_step::kTryAgain;
  return take_retry() ? attempt_step::kTryAgain : Conclusion(facts);
}

}  // namespace marjoramsill
