#ifndef MARJORAMSILL_REQUEST_ATTEMPT_FACTS_H_
#define MARJORAMSILL_REQUEST_ATTEMPT_FACTS_H_

namespace marjoramsill {

/// How an attempt at an endpoint ended.
enum class attempt_end {
  /// Nothing of the request was sent.
  kNotSent,
  /// The endpoint said that it did not run the request.
  kNotRun,
  /// The endpoint answered with a failure after running it.
  kFailed,
  /// No whole answer came; the request may have run.
  kUnknown,
};

/// What the rules for a further attempt depend on.
struct attempt_facts {
  attempt_end end = attempt_end::kUnknown;
  /// The request may run any number of times, or its stream be resumed.
  bool is_repeatable = false;
  /// Part of the answer has been passed to the caller.
  bool answer_begun = false;
  /// Endpoints that the request was sent to.
  int sent = 0;
  int max_attempts = 1;
  /// Some earlier or this attempt may have run the request.
  bool may_have_run = false;
  bool has_time = true;
};

/// What follows an attempt that did not succeed.
enum class attempt_step {
  kTryAgain,
  /// Say that the request has not run.
  kRefuse,
  /// Pass the endpoint's failure on.
  kPassOn,
  /// Say that the outcome is unknown.
  kFail,
  /// Cut off the answer that has begun.
  kCutOff,
};

inline const char* AttemptStepText(attempt_step step) {
  switch (step) {
    case attempt_step::kTryAgain:
      return "try_again";
    case attempt_step::kRefuse:
      return "refuse";
    case attempt_step::kPassOn:
      return "pass_on";
    case attempt_step::kFail:
      return "fail";
    case attempt_step::kCutOff:
      return "cut_off";
  }
  return "unknown";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ATTEMPT_FACTS_H_
